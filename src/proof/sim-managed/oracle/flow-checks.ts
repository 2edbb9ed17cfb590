/**
 * @file Checks on flows: established flows survive planned changes, a leaving back end gets no new work, and a
 * planned stop interrupts no request.
 */
import type { TraceEvent } from '../trace.js';
import type { Check, ReportViolation } from './check.js';
import type { ImpairmentTracker } from './impairment-tracker.js';

/** Time after an accepted drain in which a back end may still accept flows. */
const FLOW_AFTER_DRAIN_LIMIT_MS = 5_000;
/** Time after an accepted drain in which a back end may still start queued requests. */
const RUN_AFTER_DRAIN_LIMIT_MS = 8_000;
/** An impairment of a back end or caller excuses an unknown outcome for this time. */
const REQUEST_EXCUSE_MS = 40_000;

/** An established flow is lost only if its back end or its caller was impaired during its lifetime. */
export class EstablishedFlowSurvives implements Check {
  constructor(
    private readonly report: ReportViolation,
    private readonly impairments: ImpairmentTracker,
  ) {}

  handle(event: TraceEvent): void {
    if (event.type === 'flow-broken') {
      const { atMs, caller, flowId, backend, establishedAtMs } = event;
      const isExcused = [backend, caller].some((process) =>
        this.impairments.wasImpairedSince(process, establishedAtMs),
      );
      if (!isExcused) {
        this.report(atMs, `${caller} lost flow ${flowId} to ${backend}, but neither was impaired.`);
      }
    } else if (event.type === 'notices-missed') {
      const { atMs, caller, first, last, backend } = event;
      const service = backend.replace(/-\d+$/, '');
      if (!this.impairments.wasAnyImpaired((name) => name.startsWith(service))) {
        this.report(
          atMs,
          `${caller} missed notices ${first} to ${last}, but no back end was impaired.`,
        );
      }
    }
  }

  finish(): void {
    // No state to check at the end.
  }
}

/** A leaving back end gets no new work once the time limit after the accepted drain has passed. */
export class LeavingBackendGetsNoWork implements Check {
  private readonly leavingSinceMs = new Map<string, number>();
  private readonly drainIgnoringBackends = new Set<string>();

  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type === 'command-answered' && event.accepted) {
      this.recordCommand(event);
    } else if (event.type === 'fault' && event.fault === 'ignores-drain') {
      event.targets.forEach((target) => this.drainIgnoringBackends.add(target));
    } else if (event.type === 'flow-accepted') {
      const { atMs, backend, flowId, via } = event;
      if (this.isLeavingForLongerThan(backend, atMs, FLOW_AFTER_DRAIN_LIMIT_MS)) {
        this.report(atMs, `${backend} is leaving but accepted flow ${flowId} from ${via}.`);
      }
    } else if (event.type === 'run' && !this.drainIgnoringBackends.has(event.backend)) {
      const { atMs, backend, requestNumber } = event;
      if (this.isLeavingForLongerThan(backend, atMs, RUN_AFTER_DRAIN_LIMIT_MS)) {
        this.report(atMs, `${backend} is leaving but started request ${requestNumber}.`);
      }
    }
  }

  finish(): void {
    // No state to check at the end.
  }

  private recordCommand(event: Extract<TraceEvent, { type: 'command-answered' }>): void {
    const { atMs, command, subject } = event;
    if (command === 'drain-backend') {
      this.leavingSinceMs.set(subject, this.leavingSinceMs.get(subject) ?? atMs);
    } else if (command === 'cancel-drain') {
      this.leavingSinceMs.delete(subject);
    }
  }

  private isLeavingForLongerThan(backend: string, atMs: number, limitMs: number): boolean {
    const sinceMs = this.leavingSinceMs.get(backend);
    return sinceMs !== undefined && atMs > sinceMs + limitMs;
  }
}

/** A request in progress is interrupted only by an impairment of its back end or its caller. */
export class PlannedStopCutsNothing implements Check {
  constructor(
    private readonly report: ReportViolation,
    private readonly impairments: ImpairmentTracker,
  ) {}

  handle(event: TraceEvent): void {
    if (event.type === 'process' && event.status === 'stopped' && event.unfinished !== 0) {
      const { atMs, process, unfinished } = event;
      this.report(
        atMs,
        `${process} was stopped with ${unfinished ?? 0} requests or opens in progress.`,
      );
    } else if (event.type === 'outcome' && event.outcome === 'unknown') {
      const { atMs, caller, requestNumber, backend = 'no back end', errorKind } = event;
      const isExcused = [backend, caller].some((process) =>
        this.impairments.wasImpairedSince(process, atMs - REQUEST_EXCUSE_MS),
      );
      if (!isExcused) {
        this.report(
          atMs,
          `${caller} got an unknown outcome for request ${requestNumber} at ${backend}, ` +
            `but neither was impaired: ${errorKind ?? ''}.`,
        );
      }
    }
  }

  finish(): void {
    // No state to check at the end.
  }
}
