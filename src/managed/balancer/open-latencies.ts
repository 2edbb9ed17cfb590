/**
 * @file How long opens take until a back end accepts them, as a histogram of fixed size.
 */
import { build, type Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;
/** Longer times count as this one, in microseconds. */
const HIGHEST_MICROSECONDS = 60_000_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENT = 100;

/** Times of accepted opens; the histogram is made for the first of them. */
export interface OpenLatencies {
  histogram: Histogram | undefined;
}

/**
 * Records the time of one accepted open.
 */
export function recordOpenLatency(latencies: OpenLatencies, latencyMs: number): void {
  latencies.histogram ??= build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const microseconds = Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS));
  latencies.histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, microseconds));
}

/**
 * @param quantile from 0 to 1
 * @returns the time in milliseconds; 0 before the first open
 */
export function openLatencyMs({ histogram }: OpenLatencies, quantile: number): number {
  return (histogram?.getValueAtPercentile(quantile * PERCENT) ?? 0) / MICROSECONDS_PER_MS;
}
