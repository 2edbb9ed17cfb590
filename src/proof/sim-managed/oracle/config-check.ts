/**
 * @file The check on configurations: what was accepted is in force on every balancer within seconds, is
 * the same everywhere, is applied once, and never reverts.
 */
import type { TraceEvent } from '../trace.js';
import type { Check, ReportViolation } from './check.js';
import type { Troubles } from './troubles.js';

/** How long a balancer may take, counted from the last trouble that touched it. */
const IN_FORCE_LIMIT_MS = 5_000;

interface AcceptedCommand {
  readonly commandId: string;
  readonly index: number;
  readonly version: number | undefined;
  readonly service: string;
  readonly acceptedAtMs: number;
}

/** See the file's description. */
export class AcceptedStaysInForce implements Check {
  /** Digest of the configuration at each index, as first seen. */
  private readonly digests = new Map<number, string>();
  /** Index in force by balancer; only of those that run. */
  private readonly inForce = new Map<string, number>();
  private readonly pending = new Map<string, AcceptedCommand[]>();
  private readonly accepted: AcceptedCommand[] = [];
  private readonly sent = new Map<string, Set<string>>();
  private readonly unanswered = new Set<string>();
  /** Planned changes by service, without the cancelled ones. */
  private readonly plans = new Map<string, number>();

  constructor(
    private readonly report: ReportViolation,
    private readonly troubles: Troubles,
  ) {}

  handle(event: TraceEvent): void {
    this.checkDeadlines(event.atMs);
    if (event.type === 'process' && event.kind === 'balancer') {
      this.recordBalancer(event);
    } else if (event.type === 'applied') {
      this.checkDigest(event.atMs, event.control, event.index, event.digest);
    } else if (event.type === 'in-force') {
      this.recordInForce(event);
    } else if (event.type === 'command-sent') {
      this.recordSent(event);
    } else if (event.type === 'command-answered') {
      this.recordAnswer(event);
    } else if (event.type === 'shown') {
      this.checkStateAnswer(event);
    }
  }

  finish(endMs: number): void {
    this.checkDeadlines(endMs);
    this.checkVersions(endMs);
  }

  private recordBalancer(event: Extract<TraceEvent, { type: 'process' }>): void {
    const { process, status } = event;
    if (status === 'started') {
      this.inForce.set(process, 0);
      this.pending.set(process, [...this.accepted]);
    } else if (status === 'crashed' || status === 'stopped') {
      this.inForce.delete(process);
      this.pending.delete(process);
    }
  }

  private recordInForce(event: Extract<TraceEvent, { type: 'in-force' }>): void {
    const { atMs, balancer, index, digest } = event;
    const before = this.inForce.get(balancer) ?? 0;
    if (index < before) {
      this.report(atMs, `${balancer} went back from index ${before} to ${index}.`);
    }
    this.inForce.set(balancer, index);
    this.checkDigest(atMs, balancer, index, digest);
    const pending = this.pending.get(balancer) ?? [];
    this.pending.set(
      balancer,
      pending.filter((command) => command.index > index),
    );
  }

  private checkDigest(atMs: number, process: string, index: number, digest: string): void {
    const first = this.digests.get(index);
    if (first === undefined) {
      this.digests.set(index, digest);
    } else if (first !== digest) {
      this.report(atMs, `${process} holds another configuration than others at index ${index}.`);
    }
  }

  private recordSent(event: Extract<TraceEvent, { type: 'command-sent' }>): void {
    const { service, commandId } = event;
    const commands = this.sent.get(service) ?? new Set();
    this.sent.set(service, commands.add(commandId));
    this.unanswered.add(commandId);
  }

  private recordAnswer(event: Extract<TraceEvent, { type: 'command-answered' }>): void {
    const { atMs, commandId, command: kind, index, version, service } = event;
    this.unanswered.delete(commandId);
    if (index === undefined) {
      return;
    }
    const plans = this.plans.get(service) ?? 0;
    if (kind === 'plan-change' || kind === 'cancel-plan') {
      this.plans.set(service, plans + (kind === 'plan-change' ? 1 : -1));
    }
    const command = { commandId, index, version, service, acceptedAtMs: atMs };
    this.accepted.push(command);
    for (const [balancer, pending] of this.pending) {
      if ((this.inForce.get(balancer) ?? 0) < index) {
        pending.push(command);
      }
    }
    const sent = (this.sent.get(service)?.size ?? 0) + (this.plans.get(service) ?? 0);
    if (version !== undefined && version > sent) {
      this.report(atMs, `${service} is at version ${version} after ${sent} commands.`);
    }
  }

  private checkStateAnswer(event: Extract<TraceEvent, { type: 'shown' }>): void {
    const { atMs, control, index, askedAtMs } = event;
    const known = this.accepted.filter(({ acceptedAtMs }) => acceptedAtMs <= askedAtMs);
    const highest = Math.max(0, ...known.map((command) => command.index));
    if (index < highest) {
      this.report(atMs, `${control} showed index ${index}, ${highest} was accepted before.`);
    }
  }

  private checkDeadlines(nowMs: number): void {
    for (const [balancer, pending] of this.pending) {
      const quietSinceMs = pending.length === 0 ? undefined : this.troubles.quietSince(balancer);
      if (quietSinceMs === undefined) {
        continue;
      }
      const late = pending.find(
        ({ acceptedAtMs }) => nowMs > Math.max(acceptedAtMs, quietSinceMs) + IN_FORCE_LIMIT_MS,
      );
      if (late !== undefined) {
        const { commandId, index } = late;
        this.report(nowMs, `${balancer} has not ${commandId} of index ${index} in force.`);
        pending.length = 0;
      }
    }
  }

  /**
   * Each accepted command counts the version of its service by one, in the order of the log; so does
   * each planned change, once, unless it was cancelled.
   */
  private checkVersions(endMs: number): void {
    for (const [service, sent] of this.sent) {
      if ([...sent].some((commandId) => this.unanswered.has(commandId))) {
        continue;
      }
      const ordered = this.accepted
        .filter((command) => command.service === service && command.version !== undefined)
        .sort((one, other) => one.index - other.index);
      let planned = 0;
      ordered.forEach(({ commandId, version = 0 }, position) => {
        const byPlans = version - (position + 1);
        if (byPlans < planned || byPlans > (this.plans.get(service) ?? 0)) {
          const text = `${commandId} made version ${version} of ${service}`;
          this.report(endMs, `${text}, the ${position + 1}th command on it.`);
        }
        planned = Math.max(planned, byPlans);
      });
    }
  }
}
