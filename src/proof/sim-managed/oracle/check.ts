/**
 * @file Types shared by the oracle's checks. The oracle reads only the trace and shares no code with the
 * product.
 */
import type { TraceEvent } from '../trace.js';

/** Names of the checks; each one verifies an invariant. */
export const checkNames = [
  'established-flow-survives',
  'own-service-only',
  'whole-answer',
  'not-run-means-not-run',
  'at-most-once',
  'leaving-backend-gets-no-work',
  'planned-stop-cuts-nothing',
  'accepted-stays-in-force',
] as const;

/** Name of a check. */
export type CheckName = (typeof checkNames)[number];

/** A violated invariant. */
export interface Violation {
  readonly check: CheckName;
  readonly atMs: number;
  readonly text: string;
}

/** Records a violation. */
export type ReportViolation = (atMs: number, text: string) => void;

/** A check; it gets every event in order, then the end of the run. */
export interface Check {
  handle(event: TraceEvent): void;
  finish(endMs: number): void;
}
