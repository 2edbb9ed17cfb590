/**
 * @file Converts bandwidths from the unit of the settings to the unit of the schedulers.
 */

/** 1 Mbit/s in bytes per millisecond. */
const BYTES_PER_MS_OF_MBPS = 125;

/**
 * @param linkRateMbps megabits per second; undefined if unknown
 * @returns the rate in bytes per millisecond; undefined if unknown
 */
export function bytesPerMsOf(linkRateMbps: number | undefined): number | undefined {
  return linkRateMbps === undefined ? undefined : linkRateMbps * BYTES_PER_MS_OF_MBPS;
}
