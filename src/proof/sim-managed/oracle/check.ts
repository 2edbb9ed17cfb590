/**
 * @file What the oracle's checks have in common. The oracle reads the trace alone and shares no code with
 * the product: it knows which answers callers and operators got, what back ends ran and what balancers had
 * in force.
 */
import type { TraceEvent } from '../trace.js';

/** The checks, one for each thing that must always hold. */
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

/** Something that must never be, and was. */
export interface Violation {
  readonly check: CheckName;
  readonly atMs: number;
  readonly text: string;
}

/** Records a violation. */
export type ReportViolation = (atMs: number, text: string) => void;

/** One check: it gets every event, in order, and the end of the run. */
export interface Check {
  handle(event: TraceEvent): void;
  finish(endMs: number): void;
}
