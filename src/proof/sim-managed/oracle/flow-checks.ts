/**
 * @file The checks on flows: established flows survive planned changes, a leaving back end gets no new
 * work, a planned stop cuts nothing.
 */
import type { TraceEvent } from '../trace.js';
import type { Check, ReportViolation } from './check.js';
import type { Troubles } from './troubles.js';

/** How long after a drain was accepted a back end may still be given a flow. */
const LEAVING_FLOW_LIMIT_MS = 5_000;
/** The same for a request, which may have waited in its queue. */
const LEAVING_RUN_LIMIT_MS = 8_000;
/** Trouble of a back end explains the loss of a request for this long. */
const REQUEST_TROUBLE_MS = 40_000;

/** An established flow is lost only where its back end or its caller was in trouble meanwhile. */
export class EstablishedFlowSurvives implements Check {
  constructor(
    private readonly report: ReportViolation,
    private readonly troubles: Troubles,
  ) {}

  handle(event: TraceEvent): void {
    if (event.type === 'flow-broken') {
      const { atMs, caller, flowId, backend, establishedAtMs } = event;
      const isExcused = [backend, caller].some((process) =>
        this.troubles.hadTroubleSince(process, establishedAtMs),
      );
      if (!isExcused) {
        this.report(atMs, `${caller} lost ${flowId} to ${backend}, which had no trouble.`);
      }
    } else if (event.type === 'notices-missed') {
      const { atMs, caller, first, last, backend } = event;
      const service = backend.replace(/-\d+$/, '');
      if (!this.troubles.anyHadTrouble((name) => name.startsWith(service))) {
        this.report(atMs, `${caller} missed notices ${first} to ${last}.`);
      }
    }
  }

  finish(): void {
    // Nothing is left open.
  }
}

/** A back end that is leaving gets no new work a few seconds after its operator got the answer that the drain is accepted. */
export class LeavingBackendGetsNoWork implements Check {
  private readonly leavingSinceMs = new Map<string, number>();
  private readonly ignoreDrain = new Set<string>();

  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type === 'command-answered' && event.accepted) {
      this.recordCommand(event);
    } else if (event.type === 'fault' && event.fault === 'ignores-drain') {
      event.targets.forEach((target) => this.ignoreDrain.add(target));
    } else if (event.type === 'flow-accepted') {
      const { atMs, backend, flowId, via } = event;
      if (this.isOverdue(backend, atMs, LEAVING_FLOW_LIMIT_MS)) {
        this.report(atMs, `${backend} is leaving and was given ${flowId} by ${via}.`);
      }
    } else if (event.type === 'run' && !this.ignoreDrain.has(event.backend)) {
      const { atMs, backend, requestNumber } = event;
      if (this.isOverdue(backend, atMs, LEAVING_RUN_LIMIT_MS)) {
        this.report(atMs, `${backend} is leaving and ran request ${requestNumber}.`);
      }
    }
  }

  finish(): void {
    // Nothing is left open.
  }

  private recordCommand(event: Extract<TraceEvent, { type: 'command-answered' }>): void {
    const { atMs, command, subject } = event;
    if (command === 'drain-backend') {
      this.leavingSinceMs.set(subject, this.leavingSinceMs.get(subject) ?? atMs);
    } else if (command === 'cancel-drain') {
      this.leavingSinceMs.delete(subject);
    }
  }

  private isOverdue(backend: string, atMs: number, limitMs: number): boolean {
    const sinceMs = this.leavingSinceMs.get(backend);
    return sinceMs !== undefined && atMs > sinceMs + limitMs;
  }
}

/** No request in progress is cut, but by trouble of its back end or its caller. */
export class PlannedStopCutsNothing implements Check {
  constructor(
    private readonly report: ReportViolation,
    private readonly troubles: Troubles,
  ) {}

  handle(event: TraceEvent): void {
    if (event.type === 'process' && event.status === 'stopped' && event.unfinished !== 0) {
      const { atMs, process, unfinished } = event;
      this.report(atMs, `${process} was stopped with ${unfinished ?? 0} in progress.`);
    } else if (event.type === 'outcome' && event.outcome === 'unknown') {
      const { atMs, caller, requestNumber, backend = 'no back end', errorKind } = event;
      const isExcused = [backend, caller].some((process) =>
        this.troubles.hadTroubleSince(process, atMs - REQUEST_TROUBLE_MS),
      );
      if (!isExcused) {
        this.report(
          atMs,
          `${caller} does not know what became of request ${requestNumber} at ${backend}, ` +
            `which had no trouble: ${errorKind ?? ''}.`,
        );
      }
    }
  }

  finish(): void {
    // Nothing is left open.
  }
}
