/**
 * @file The checks on requests: own service only, whole answer, "not run" means not run, at most once.
 */
import type { TraceEvent } from '../trace.js';
import type { Check, ReportViolation } from './check.js';

/** A packet meant for one service never reaches a back end of another one. */
export class OwnServiceOnly implements Check {
  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type === 'packet' && event.arrivedAt !== undefined) {
      const { atMs, meantFor, arrivedAt, to, from, message } = event;
      if (meantFor !== arrivedAt) {
        this.report(atMs, `${message} for ${meantFor} came to ${to} of ${arrivedAt} by ${from}.`);
      }
    }
  }

  finish(): void {
    // Nothing is left open.
  }
}

/** A caller gets the whole answer to its own request, and the notices of its own feed. */
export class WholeAnswer implements Check {
  private readonly started = new Set<number>();
  private readonly lastNotice = new Map<string, number>();

  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type === 'run') {
      this.started.add(event.requestNumber);
    } else if (event.type === 'outcome' && event.outcome === 'answered') {
      this.checkAnswer(event);
    } else if (event.type === 'notice') {
      this.checkNotice(event);
    } else if (event.type === 'notices-missed') {
      this.lastNotice.set(event.caller, event.last);
    } else if (event.type === 'process' && event.status === 'started') {
      this.lastNotice.delete(event.process);
    }
  }

  finish(): void {
    // Nothing is left open.
  }

  private checkAnswer(event: Extract<TraceEvent, { type: 'outcome' }>): void {
    const { atMs, caller, requestNumber } = event;
    if (!event.intact) {
      this.report(atMs, `${caller} got a wrong answer to request ${requestNumber}.`);
    }
    if (!this.started.has(requestNumber)) {
      this.report(atMs, `${caller} got an answer to request ${requestNumber}, which did not run.`);
    }
  }

  private checkNotice(event: Extract<TraceEvent, { type: 'notice' }>): void {
    const { atMs, caller, number } = event;
    const last = this.lastNotice.get(caller);
    this.lastNotice.set(caller, number);
    if (!event.intact) {
      this.report(atMs, `${caller} got another notice than number ${number}.`);
    }
    if (last !== undefined && number !== last + 1) {
      this.report(atMs, `${caller} got notice ${number} after ${last}.`);
    }
  }
}

/** A request whose caller got the answer "not run" runs neither before nor after that. */
export class NotRunMeansNotRun implements Check {
  private readonly started = new Map<number, string>();
  private readonly toldNotRun = new Map<number, string>();

  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type === 'run') {
      const { atMs, requestNumber, backend } = event;
      this.started.set(requestNumber, backend);
      const caller = this.toldNotRun.get(requestNumber);
      if (caller !== undefined) {
        this.report(atMs, `${backend} ran request ${requestNumber}, "not run" to ${caller}.`);
      }
    } else if (event.type === 'outcome' && event.outcome === 'not-run') {
      const { atMs, requestNumber, caller } = event;
      this.toldNotRun.set(requestNumber, caller);
      const backend = this.started.get(requestNumber);
      if (backend !== undefined) {
        this.report(atMs, `${caller} was told "not run" of ${requestNumber}, run at ${backend}.`);
      }
    }
  }

  finish(): void {
    // Nothing is left open.
  }
}

/** A request runs at most once, over all back ends. */
export class AtMostOnce implements Check {
  private readonly started = new Map<number, string>();

  constructor(private readonly report: ReportViolation) {}

  handle(event: TraceEvent): void {
    if (event.type !== 'run') {
      return;
    }
    const { atMs, requestNumber, backend } = event;
    const first = this.started.get(requestNumber);
    if (first !== undefined) {
      this.report(atMs, `Request ${requestNumber} ran at ${first} and at ${backend}.`);
    }
    this.started.set(requestNumber, backend);
  }

  finish(): void {
    // Nothing is left open.
  }
}
