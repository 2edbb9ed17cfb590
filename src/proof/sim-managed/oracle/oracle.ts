/**
 * @file Runs all checks over the events of a trace, during a run or on replay.
 */
import type { TraceEvent, TraceListener } from '../trace.js';
import type { Check, CheckName, ReportViolation, Violation } from './check.js';
import { AcceptedStaysInForce } from './config-check.js';
import { FinalConfigMatchesAccepted } from './final-config-check.js';
import {
  EstablishedFlowSurvives,
  LeavingBackendGetsNoWork,
  PlannedStopCutsNothing,
} from './flow-checks.js';
import { AtMostOnce, NotRunMeansNotRun, OwnServiceOnly, WholeAnswer } from './request-checks.js';
import { ImpairmentTracker } from './impairment-tracker.js';

/** Collects the violations of a run. */
export class Oracle implements TraceListener {
  readonly violations: Violation[] = [];
  private readonly impairments = new ImpairmentTracker();
  private readonly checks: readonly Check[];

  constructor() {
    const { impairments } = this;
    this.checks = [
      new EstablishedFlowSurvives(this.reporter('established-flow-survives'), impairments),
      new OwnServiceOnly(this.reporter('own-service-only')),
      new WholeAnswer(this.reporter('whole-answer')),
      new NotRunMeansNotRun(this.reporter('not-run-means-not-run')),
      new AtMostOnce(this.reporter('at-most-once')),
      new LeavingBackendGetsNoWork(this.reporter('leaving-backend-gets-no-work')),
      new PlannedStopCutsNothing(this.reporter('planned-stop-cuts-nothing'), impairments),
      new AcceptedStaysInForce(this.reporter('accepted-stays-in-force'), impairments),
      new FinalConfigMatchesAccepted(this.reporter('accepted-stays-in-force'), impairments),
    ];
  }

  handle(event: TraceEvent): void {
    this.impairments.handle(event);
    this.checks.forEach((check) => check.handle(event));
  }

  /** Completes all checks at the end of the run. */
  finish(endMs: number): void {
    this.checks.forEach((check) => check.finish(endMs));
  }

  private reporter(check: CheckName): ReportViolation {
    return (atMs, text) => this.violations.push({ check, atMs, text });
  }
}
