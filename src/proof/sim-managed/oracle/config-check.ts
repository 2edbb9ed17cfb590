/**
 * @file Checks that an accepted command is applied exactly once, is in force on every balancer in time with the
 * same configuration everywhere, and is never reverted.
 */
import type { TraceEvent } from '../trace.js';
import type { Check, ReportViolation } from './check.js';
import type { ImpairmentTracker } from './impairment-tracker.js';

/** Limit after acceptance, or after the end of the balancer's last impairment if that is later. */
const IN_FORCE_LIMIT_MS = 5_000;

interface AcceptedCommand {
  readonly commandId: string;
  readonly index: number;
  readonly version: number | undefined;
  readonly service: string;
  readonly acceptedAtMs: number;
}

/** Checks propagation, consistency and monotonicity of accepted configurations. */
export class AcceptedStaysInForce implements Check {
  /** First observed digest of the configuration at each index. */
  private readonly digestsByIndex = new Map<number, string>();
  /** Index in force on each running balancer. */
  private readonly indexInForce = new Map<string, number>();
  /** Accepted commands that are not yet in force. */
  private readonly pendingByBalancer = new Map<string, AcceptedCommand[]>();
  private readonly accepted: AcceptedCommand[] = [];
  /** IDs of the commands sent, without repetitions. */
  private readonly sentByService = new Map<string, Set<string>>();
  private readonly unanswered = new Set<string>();
  /** Number of planned changes that were not cancelled. */
  private readonly plannedByService = new Map<string, number>();

  constructor(
    private readonly report: ReportViolation,
    private readonly impairments: ImpairmentTracker,
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
      this.indexInForce.set(process, 0);
      this.pendingByBalancer.set(process, [...this.accepted]);
    } else if (status === 'crashed' || status === 'stopped') {
      this.indexInForce.delete(process);
      this.pendingByBalancer.delete(process);
    }
  }

  private recordInForce(event: Extract<TraceEvent, { type: 'in-force' }>): void {
    const { atMs, balancer, index, digest } = event;
    const previousIndex = this.indexInForce.get(balancer) ?? 0;
    if (index < previousIndex) {
      this.report(atMs, `${balancer} reverted from index ${previousIndex} to index ${index}.`);
    }
    this.indexInForce.set(balancer, index);
    this.checkDigest(atMs, balancer, index, digest);
    const pending = this.pendingByBalancer.get(balancer) ?? [];
    this.pendingByBalancer.set(
      balancer,
      pending.filter((command) => command.index > index),
    );
  }

  private checkDigest(atMs: number, process: string, index: number, digest: string): void {
    const firstDigest = this.digestsByIndex.get(index);
    if (firstDigest === undefined) {
      this.digestsByIndex.set(index, digest);
    } else if (firstDigest !== digest) {
      this.report(
        atMs,
        `${process} has a different configuration from other processes at index ${index}.`,
      );
    }
  }

  private recordSent(event: Extract<TraceEvent, { type: 'command-sent' }>): void {
    const { service, commandId } = event;
    const commands = this.sentByService.get(service) ?? new Set();
    this.sentByService.set(service, commands.add(commandId));
    this.unanswered.add(commandId);
  }

  private recordAnswer(event: Extract<TraceEvent, { type: 'command-answered' }>): void {
    const { atMs, commandId, command: kind, index, version, service } = event;
    this.unanswered.delete(commandId);
    if (index === undefined) {
      return;
    }
    const plans = this.plannedByService.get(service) ?? 0;
    if (kind === 'plan-change' || kind === 'cancel-plan') {
      this.plannedByService.set(service, plans + (kind === 'plan-change' ? 1 : -1));
    }
    const command = { commandId, index, version, service, acceptedAtMs: atMs };
    this.accepted.push(command);
    for (const [balancer, pending] of this.pendingByBalancer) {
      if ((this.indexInForce.get(balancer) ?? 0) < index) {
        pending.push(command);
      }
    }
    const sent =
      (this.sentByService.get(service)?.size ?? 0) + (this.plannedByService.get(service) ?? 0);
    if (version !== undefined && version > sent) {
      this.report(atMs, `${service} is at version ${version} after ${sent} commands.`);
    }
  }

  private checkStateAnswer(event: Extract<TraceEvent, { type: 'shown' }>): void {
    const { atMs, control, index, askedAtMs } = event;
    const acceptedBeforeQuery = this.accepted.filter(
      ({ acceptedAtMs }) => acceptedAtMs <= askedAtMs,
    );
    const minIndex = Math.max(0, ...acceptedBeforeQuery.map((command) => command.index));
    if (index < minIndex) {
      this.report(
        atMs,
        `${control} answered a query with index ${index} after index ${minIndex} was accepted.`,
      );
    }
  }

  private checkDeadlines(nowMs: number): void {
    for (const [balancer, pending] of this.pendingByBalancer) {
      const unimpairedSinceMs =
        pending.length === 0 ? undefined : this.impairments.unimpairedSince(balancer);
      if (unimpairedSinceMs === undefined) {
        continue;
      }
      const overdue = pending.find(
        ({ acceptedAtMs }) => nowMs > Math.max(acceptedAtMs, unimpairedSinceMs) + IN_FORCE_LIMIT_MS,
      );
      if (overdue !== undefined) {
        const { commandId, index } = overdue;
        this.report(
          nowMs,
          `${balancer} doesn't have ${commandId} at index ${index} in force in time.`,
        );
        pending.length = 0;
      }
    }
  }

  /**
   * Each accepted command increments the version of its service, in log order; so does each planned change
   * that is not cancelled.
   */
  private checkVersions(endMs: number): void {
    for (const [service, sent] of this.sentByService) {
      if ([...sent].some((commandId) => this.unanswered.has(commandId))) {
        continue;
      }
      const ordered = this.accepted
        .filter((command) => command.service === service && command.version !== undefined)
        .sort((one, other) => one.index - other.index);
      let minPlanned = 0;
      ordered.forEach(({ commandId, version = 0 }, position) => {
        const appliedPlans = version - (position + 1);
        if (appliedPlans < minPlanned || appliedPlans > (this.plannedByService.get(service) ?? 0)) {
          const text = `${commandId} resulted in version ${version} of ${service}`;
          this.report(endMs, `${text} as its accepted command number ${position + 1}.`);
        }
        minPlanned = Math.max(minPlanned, appliedPlans);
      });
    }
  }
}
