/**
 * @file Measures the time from the acceptance of a change until each balancer has it in force.
 */
import { build, type Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_MS = 3_600_000;
const PERCENT_MEDIAN = 50;
const PERCENT_99 = 99;

interface TrackedChange {
  readonly index: number;
  readonly acceptedAtMs: number;
  /** One byte per balancer: 1 while it lacks the change. */
  readonly lacks: Uint8Array;
  remaining: number;
}

/** Times in milliseconds. */
export interface TimeSummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Collects the times of one measured period. */
export class InForceTracker {
  private changes: TrackedChange[] = [];
  private perBalancer = newHistogram();
  private everywhere = newHistogram();

  constructor(private readonly balancerCount: number) {}

  /**
   * A change was accepted.
   * @param positions the index in force at each balancer; undefined for one that is down
   */
  accepted(index: number, nowMs: number, positions: readonly (number | undefined)[]): void {
    const lacks = new Uint8Array(this.balancerCount);
    positions.forEach((position, number) => {
      lacks[number] = position !== undefined && position < index ? 1 : 0;
    });
    const remaining = lacks.reduce((sum, one) => sum + one, 0);
    this.changes.push({ index, acceptedAtMs: nowMs, lacks, remaining });
  }

  /** A balancer has an index in force. */
  inForce(balancer: number, index: number, nowMs: number): void {
    for (const change of this.changes) {
      if (change.index <= index && this.take(change, balancer)) {
        const time = toMicroseconds(nowMs - change.acceptedAtMs);
        this.perBalancer.recordValue(time);
        if (change.remaining === 0) {
          this.everywhere.recordValue(time);
        }
      }
    }
    this.changes = this.changes.filter(({ remaining }) => remaining > 0);
  }

  /** A balancer went down: nobody waits for it any more. */
  wentDown(balancer: number): void {
    this.changes.forEach((change) => this.take(change, balancer));
  }

  /** How many changes some balancer still lacks. */
  get unfinished(): number {
    return this.changes.length;
  }

  /** Times from accepted to in force, for each balancer and change. */
  summary(): TimeSummary {
    return summarize(this.perBalancer);
  }

  /** Times from accepted until the last balancer has it in force, for each change. */
  summaryEverywhere(): TimeSummary {
    return summarize(this.everywhere);
  }

  reset(): void {
    this.changes = [];
    this.perBalancer = newHistogram();
    this.everywhere = newHistogram();
  }

  private take(change: TrackedChange, balancer: number): boolean {
    if (change.lacks[balancer] !== 1) {
      return false;
    }
    change.lacks[balancer] = 0;
    change.remaining -= 1;
    return true;
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * MICROSECONDS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
}

function toMicroseconds(durationMs: number): number {
  return Math.max(0, Math.round(durationMs * MICROSECONDS_PER_MS));
}

function summarize(histogram: Histogram): TimeSummary {
  const at = (percent: number) =>
    histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;
  return {
    count: histogram.totalCount,
    p50Ms: at(PERCENT_MEDIAN),
    p99Ms: at(PERCENT_99),
    maxMs: histogram.totalCount === 0 ? 0 : histogram.maxValue / MICROSECONDS_PER_MS,
  };
}
