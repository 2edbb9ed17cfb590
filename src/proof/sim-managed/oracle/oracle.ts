/**
 * @file The oracle: runs all checks over a trace, while it grows or afterwards.
 */
import type { TraceEvent, TraceListener } from '../trace.js';
import type { Check, CheckName, ReportViolation, Violation } from './check.js';
import { AcceptedStaysInForce } from './config-check.js';
import { FinalConfigIsAsAccepted } from './final-config-check.js';
import {
  EstablishedFlowSurvives,
  LeavingBackendGetsNoWork,
  PlannedStopCutsNothing,
} from './flow-checks.js';
import { AtMostOnce, NotRunMeansNotRun, OwnServiceOnly, WholeAnswer } from './request-checks.js';
import { Troubles } from './troubles.js';

/** Judges a run. */
export class Oracle implements TraceListener {
  readonly violations: Violation[] = [];
  private readonly troubles = new Troubles();
  private readonly checks: readonly Check[];

  constructor() {
    const { troubles } = this;
    this.checks = [
      new EstablishedFlowSurvives(this.reporter('established-flow-survives'), troubles),
      new OwnServiceOnly(this.reporter('own-service-only')),
      new WholeAnswer(this.reporter('whole-answer')),
      new NotRunMeansNotRun(this.reporter('not-run-means-not-run')),
      new AtMostOnce(this.reporter('at-most-once')),
      new LeavingBackendGetsNoWork(this.reporter('leaving-backend-gets-no-work')),
      new PlannedStopCutsNothing(this.reporter('planned-stop-cuts-nothing'), troubles),
      new AcceptedStaysInForce(this.reporter('accepted-stays-in-force'), troubles),
      new FinalConfigIsAsAccepted(this.reporter('accepted-stays-in-force'), troubles),
    ];
  }

  handle(event: TraceEvent): void {
    this.troubles.handle(event);
    this.checks.forEach((check) => check.handle(event));
  }

  /** The run has ended. */
  finish(endMs: number): void {
    this.checks.forEach((check) => check.finish(endMs));
  }

  private reporter(check: CheckName): ReportViolation {
    return (atMs, text) => this.violations.push({ check, atMs, text });
  }
}
