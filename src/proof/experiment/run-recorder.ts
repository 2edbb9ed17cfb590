/**
 * @file Records a run from its callers' output lines, its back ends' loads and its events: totals,
 * latencies, and a timeline with one point a second.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { RequestOutcome } from '../standins/caller-state.js';
import type { RunRecord } from './harm-summary.js';

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

/** What callers saw in one second of a run. */
export interface TimelinePoint extends LatencySummary {
  readonly second: number;
  readonly answered: number;
  readonly refused: number;
  readonly outcomeUnknown: number;
}

/** Something that happened in a run. */
export interface RecordedEvent {
  /** From the start of the load. */
  readonly atSeconds: number;
  readonly text: string;
}

interface Second {
  answered: number;
  refused: number;
  outcomeUnknown: number;
  readonly latencies: Histogram;
}

/** What a callers process prints. */
type CallerLine =
  | { readonly event: 'outcome'; readonly outcome: RequestOutcome }
  | ({ readonly event: 'finished' } & Omit<RunRecord, 'outcomes'>);

/** Records one run. */
export class RunRecorder {
  readonly outcomes: RequestOutcome[] = [];
  readonly events: RecordedEvent[] = [];
  private readonly seconds: Second[] = [];
  private readonly latencies = build();
  private readonly finished: Omit<RunRecord, 'outcomes'>[] = [];
  private startedAtMs = performance.now();

  /**
   * @param onNote called with each event that is noted
   */
  constructor(private readonly onNote: (text: string) => void = () => undefined) {}

  /** The load begins now. */
  start(): void {
    this.startedAtMs = performance.now();
  }

  /** Time since the load began. */
  get elapsedSeconds(): number {
    return (performance.now() - this.startedAtMs) / MILLISECONDS_PER_SECOND;
  }

  /** Takes a line of a callers process. */
  takeCallerLine(line: string): void {
    const event = JSON.parse(line) as CallerLine;
    if (event.event === 'outcome') {
      this.takeOutcome(event.outcome);
    } else {
      this.finished.push(event);
    }
  }

  /** Notes that something happened now. */
  note(text: string): void {
    this.events.push({ atSeconds: this.elapsedSeconds, text });
    this.onNote(`${this.elapsedSeconds.toFixed(1)} s: ${text}`);
  }

  /** The totals of all callers that have finished. */
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

  /** Latencies of the whole run. */
  latencySummary(): LatencySummary {
    return summarize(this.latencies);
  }

  /** One point for each second of the run. */
  timeline(): TimelinePoint[] {
    return Array.from(this.seconds, (second: Second | undefined, position) => {
      const { answered, refused, outcomeUnknown, latencies } = second ?? emptySecond();
      return { second: position, answered, refused, outcomeUnknown, ...summarize(latencies) };
    });
  }

  private takeOutcome(outcome: RequestOutcome): void {
    this.outcomes.push(outcome);
    const position = Math.floor(this.elapsedSeconds);
    const second = (this.seconds[position] ??= emptySecond());
    if (outcome.type === 'answered') {
      second.answered += 1;
      const units = Math.round(outcome.latencyMs * UNITS_PER_MILLISECOND);
      second.latencies.recordValue(units);
      this.latencies.recordValue(units);
    } else if (outcome.type === 'not-run') {
      second.refused += 1;
    } else {
      second.outcomeUnknown += 1;
    }
  }
}

function emptySecond(): Second {
  return { answered: 0, refused: 0, outcomeUnknown: 0, latencies: build() };
}

function summarize(latencies: Histogram): LatencySummary {
  return {
    latencyP50Ms: latencies.getValueAtPercentile(MEDIAN) / UNITS_PER_MILLISECOND,
    latencyP99Ms: latencies.getValueAtPercentile(P99) / UNITS_PER_MILLISECOND,
  };
}
