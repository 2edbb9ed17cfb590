/**
 * @file Histogram of the time until a back end accepts an open.
 */
import { build, type Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;
/** Longer times are recorded as this value. */
const MAX_MICROSECONDS = 60_000_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENT = 100;

/** Latencies of accepted opens; the histogram is created for the first one. */
export interface OpenLatencies {
  histogram: Histogram | undefined;
}

/**
 * Records the latency of one accepted open.
 */
export function recordOpenLatency(latencies: OpenLatencies, latencyMs: number): void {
  latencies.histogram ??= build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const microseconds = Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS));
  latencies.histogram.recordValue(Math.min(MAX_MICROSECONDS, microseconds));
}

/**
 * @param quantile from 0 to 1
 * @returns the latency in milliseconds; 0 before the first accepted open
 */
export function openLatencyMs({ histogram }: OpenLatencies, quantile: number): number {
  return (histogram?.getValueAtPercentile(quantile * PERCENT) ?? 0) / MICROSECONDS_PER_MS;
}
