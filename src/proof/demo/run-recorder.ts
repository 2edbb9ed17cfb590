/**
 * @file Records totals and latencies of a run from the output lines of its callers.
 */
import { build } from 'hdr-histogram-js';
import type { RequestOutcome } from '../standins/caller-state.js';
import type { RunRecord } from './run-summary.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Latencies are recorded in units of 10 microseconds. */
const UNITS_PER_MILLISECOND = 100;
const MEDIAN = 50;
const P99 = 99;

/** Latencies of answered requests, in milliseconds. */
export interface LatencySummary {
  readonly latencyP50Ms: number;
  readonly latencyP99Ms: number;
}

/** An output line of a callers process. */
type CallerLine =
  | { readonly event: 'outcome'; readonly outcome: RequestOutcome }
  | ({ readonly event: 'finished' } & Omit<RunRecord, 'outcomes'>);

/** Records one run. */
export class RunRecorder {
  readonly outcomes: RequestOutcome[] = [];
  private readonly latencies = build();
  private readonly finished: Omit<RunRecord, 'outcomes'>[] = [];
  private readonly startedAtMs = performance.now();

  /** Time since the recorder was created. */
  get elapsedSeconds(): number {
    return (performance.now() - this.startedAtMs) / MILLISECONDS_PER_SECOND;
  }

  /** Records an output line of a callers process; throws on invalid JSON. */
  recordCallerLine(line: string): void {
    const event = JSON.parse(line) as CallerLine;
    if (event.event === 'outcome') {
      this.recordOutcome(event.outcome);
    } else {
      this.finished.push(event);
    }
  }

  /** @returns the totals of all finished callers */
  record(): RunRecord {
    const sum = (pick: (one: Omit<RunRecord, 'outcomes'>) => number): number =>
      this.finished.reduce((total, one) => total + pick(one), 0);
    return {
      outcomes: this.outcomes,
      brokenFlows: sum((one) => one.brokenFlows),
      wrongAnswers: sum((one) => one.wrongAnswers),
      noticesDelivered: sum((one) => one.noticesDelivered),
      noticesLost: sum((one) => one.noticesLost),
      noticesDoubled: sum((one) => one.noticesDoubled),
    };
  }

  /** @returns the latencies of the whole run */
  latencySummary(): LatencySummary {
    return {
      latencyP50Ms: this.latencies.getValueAtPercentile(MEDIAN) / UNITS_PER_MILLISECOND,
      latencyP99Ms: this.latencies.getValueAtPercentile(P99) / UNITS_PER_MILLISECOND,
    };
  }

  private recordOutcome(outcome: RequestOutcome): void {
    this.outcomes.push(outcome);
    if (outcome.type === 'answered') {
      this.latencies.recordValue(Math.round(outcome.latencyMs * UNITS_PER_MILLISECOND));
    }
  }
}
