/**
 * @file Bandwidths as operators write them, and as schedulers count.
 */

/** Bytes a millisecond of one megabit a second. */
const BYTES_PER_MS_OF_MBPS = 125;

/**
 * @param linkMbps megabits a second; undefined where it is not known
 * @returns the same in bytes a millisecond
 */
export function bytesPerMsOf(linkMbps: number | undefined): number | undefined {
  return linkMbps === undefined ? undefined : linkMbps * BYTES_PER_MS_OF_MBPS;
}
