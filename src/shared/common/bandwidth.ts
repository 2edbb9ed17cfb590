/**
 * @file Bandwidths as operators write them, and as schedulers count.
 */

/** Bytes a millisecond of one megabit a second. */
const BYTES_PER_MS_OF_MBPS = 125;

/**
 * @param linkRateMbps megabits a second; undefined where it is not known
 * @returns the same in bytes a millisecond
 */
export function bytesPerMsOf(linkRateMbps: number | undefined): number | undefined {
  return linkRateMbps === undefined ? undefined : linkRateMbps * BYTES_PER_MS_OF_MBPS;
}
