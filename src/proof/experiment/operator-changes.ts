/**
 * @file Changes that operators send during a run: how many were accepted, how long each took until it
 * was in force on every balancer that is up, and whether what was accepted still stands at the end.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { build } from 'hdr-histogram-js';
import type { Cluster } from './cluster.js';
import { waitUntilInForce, type OperatorRevision } from './cluster-status.js';
import type { DeployedService } from './deployment.js';

const IN_FORCE_TIMEOUT_MS = 30_000;
/** Limits that no load of a run reaches; each change sets another one. */
const FIRST_LIMIT = 1_000_000;
const MEDIAN = 50;
const P99 = 99;

/** What came of the operators' changes. */
export interface ChangesSummary {
  readonly changesSent: number;
  readonly changesAccepted: number;
  readonly changesRefused: number;
  /** Why changes were refused, each reason once. */
  readonly refusalReasons: readonly string[];
  /** Accepted, but not in force on every balancer that is up within 30 seconds. */
  readonly changesLate: number;
  /** Services that at the end don't show the last change that was accepted for them. */
  readonly changesReverted: number;
  /** From the sending of a change to its acceptance; null where none was accepted. */
  readonly acceptedP50Ms: number | null;
  readonly acceptedP99Ms: number | null;
  /** From the acceptance to the moment when it is in force everywhere. */
  readonly inForceP50Ms: number | null;
  readonly inForceP99Ms: number | null;
}

/** Sends changes and follows them. */
export class OperatorChanges {
  private sent = 0;
  private refused = 0;
  private readonly refusalReasons = new Set<string>();
  private late = 0;
  private readonly accepted = build();
  private readonly inForce = build();
  private readonly lastAccepted = new Map<string, number>();
  private readonly following: Promise<void>[] = [];

  constructor(private readonly cluster: Cluster) {}

  /** Sends changes evenly; resolves once the last one was answered. */
  async send(count: number, overMs: number): Promise<void> {
    const { services } = this.cluster.options.deployment;
    const startedAtMs = performance.now();
    for (let number = 0; number < count; number += 1) {
      const dueAtMs = startedAtMs + (number * overMs) / count;
      await sleep(Math.max(0, dueAtMs - performance.now()));
      const service = services[number % services.length];
      if (service !== undefined) {
        await this.sendOne(service, number);
      }
    }
  }

  /** Resolves once every accepted change is in force or late. */
  async summarize(): Promise<ChangesSummary> {
    await Promise.all(this.following);
    return {
      changesSent: this.sent,
      changesAccepted: this.accepted.totalCount,
      changesRefused: this.refused,
      refusalReasons: [...this.refusalReasons],
      changesLate: this.late,
      changesReverted: await this.countReverted(),
      acceptedP50Ms: percentile(this.accepted, MEDIAN),
      acceptedP99Ms: percentile(this.accepted, P99),
      inForceP50Ms: percentile(this.inForce, MEDIAN),
      inForceP99Ms: percentile(this.inForce, P99),
    };
  }

  private async sendOne(service: DeployedService, number: number): Promise<void> {
    this.sent += 1;
    const opensPerSecond = FIRST_LIMIT + number;
    const sentAtMs = performance.now();
    const result = await this.cluster.clientOf(service.operator).send(`change-${number}`, {
      type: 'change-service',
      service: service.name,
      limits: { opensPerSecond },
    });
    if (result.isErr()) {
      this.refused += 1;
      this.refusalReasons.add(`${result.error.kind}: ${result.error.message}`);
      return;
    }
    const acceptedAtMs = performance.now();
    this.accepted.recordValue(acceptedAtMs - sentAtMs);
    this.lastAccepted.set(service.name, opensPerSecond);
    const { revision } = result.value;
    this.following.push(this.follow({ operator: service.operator, revision }, acceptedAtMs));
  }

  private async follow(revision: OperatorRevision, acceptedAtMs: number): Promise<void> {
    if (await waitUntilInForce(this.cluster, [revision], IN_FORCE_TIMEOUT_MS)) {
      this.inForce.recordValue(performance.now() - acceptedAtMs);
    } else {
      this.late += 1;
    }
  }

  private async countReverted(): Promise<number> {
    const { services } = this.cluster.options.deployment;
    let reverted = 0;
    for (const { name, operator } of services) {
      const expected = this.lastAccepted.get(name);
      if (expected !== undefined) {
        const shown = await this.cluster.clientOf(operator).query({ type: 'services' });
        const services = shown.map((answer) => answer.services).unwrapOr([]);
        const service = services.find((candidate) => candidate.name === name);
        reverted += service?.limits.opensPerSecond === expected ? 0 : 1;
      }
    }
    return reverted;
  }
}

function percentile(values: ReturnType<typeof build>, percent: number): number | null {
  return values.totalCount === 0 ? null : values.getValueAtPercentile(percent);
}
