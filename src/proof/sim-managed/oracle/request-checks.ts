/**
 * @file Checks on requests: delivery to the right service, complete answers, truthful "not run" outcomes, and at
 * most one execution.
 */
import type { TraceEvent } from '../trace.js';
import type { Check, ReportViolation } from './check.js';

/** A packet for one service never reaches a back end of another service. */
export class OwnServiceOnly implements Check {
  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type === 'packet' && event.arrivedAt !== undefined) {
      const { atMs, meantFor, arrivedAt, to, from, message } = event;
      if (meantFor !== arrivedAt) {
        this.report(
          atMs,
          `${message} for ${meantFor} reached ${to} of ${arrivedAt}, sent by ${from}.`,
        );
      }
    }
  }

  finish(): void {
    // No state to check at the end.
  }
}

/** A caller gets the complete answer to its own request, and every notice of its feed in order. */
export class WholeAnswer implements Check {
  private readonly startedRequests = new Set<number>();
  private readonly lastNoticeByCaller = new Map<string, number>();

  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type === 'run') {
      this.startedRequests.add(event.requestNumber);
    } else if (event.type === 'outcome' && event.outcome === 'answered') {
      this.checkAnswer(event);
    } else if (event.type === 'notice') {
      this.checkNotice(event);
    } else if (event.type === 'notices-missed') {
      this.lastNoticeByCaller.set(event.caller, event.last);
    } else if (event.type === 'process' && event.status === 'started') {
      this.lastNoticeByCaller.delete(event.process);
    }
  }

  finish(): void {
    // No state to check at the end.
  }

  private checkAnswer(event: Extract<TraceEvent, { type: 'outcome' }>): void {
    const { atMs, caller, requestNumber } = event;
    if (!event.intact) {
      this.report(atMs, `${caller} got an answer with wrong content to request ${requestNumber}.`);
    }
    if (!this.startedRequests.has(requestNumber)) {
      this.report(atMs, `${caller} got an answer to request ${requestNumber}, which did not run.`);
    }
  }

  private checkNotice(event: Extract<TraceEvent, { type: 'notice' }>): void {
    const { atMs, caller, number } = event;
    const last = this.lastNoticeByCaller.get(caller);
    this.lastNoticeByCaller.set(caller, number);
    if (!event.intact) {
      this.report(atMs, `${caller} got wrong content in notice ${number}.`);
    }
    if (last !== undefined && number !== last + 1) {
      this.report(atMs, `${caller} got notice ${number} after ${last}.`);
    }
  }
}

/** A request that was reported to its caller as "not run" never runs, before or after the report. */
export class NotRunMeansNotRun implements Check {
  private readonly backendByRequest = new Map<number, string>();
  private readonly callerByNotRunRequest = new Map<number, string>();

  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type === 'run') {
      const { atMs, requestNumber, backend } = event;
      this.backendByRequest.set(requestNumber, backend);
      const caller = this.callerByNotRunRequest.get(requestNumber);
      if (caller !== undefined) {
        this.report(
          atMs,
          `${backend} ran request ${requestNumber}, reported as "not run" to ${caller}.`,
        );
      }
    } else if (event.type === 'outcome' && event.outcome === 'not-run') {
      const { atMs, requestNumber, caller } = event;
      this.callerByNotRunRequest.set(requestNumber, caller);
      const backend = this.backendByRequest.get(requestNumber);
      if (backend !== undefined) {
        this.report(
          atMs,
          `${caller} got "not run" for request ${requestNumber}, which ran on ${backend}.`,
        );
      }
    }
  }

  finish(): void {
    // No state to check at the end.
  }
}

/** A request runs at most once across all back ends. */
export class AtMostOnce implements Check {
  private readonly backendByRequest = new Map<number, string>();

  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type !== 'run') {
      return;
    }
    const { atMs, requestNumber, backend } = event;
    const firstBackend = this.backendByRequest.get(requestNumber);
    if (firstBackend !== undefined) {
      this.report(atMs, `Request ${requestNumber} ran on ${firstBackend} and on ${backend}.`);
    }
    this.backendByRequest.set(requestNumber, backend);
  }

  finish(): void {
    // No state to check at the end.
  }
}
