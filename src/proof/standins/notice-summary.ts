/**
 * @file What came of a feed: notices lost and doubled at the caller.
 */

/** The counts of one feed, or of several added up. */
export interface NoticeSummary {
  /** Notices delivered, copies included. */
  readonly noticesDelivered: number;
  /** Notices that should have been delivered and were not. */
  readonly noticesLost: number;
  /** Notices delivered more than once. */
  readonly noticesDoubled: number;
}

/**
 * @param numbers as they were delivered
 * @param afterNotice the last notice that the caller had before
 * @param lastNotice the last one that it should have
 */
export function summarizeNotices(
  numbers: readonly number[],
  afterNotice: number,
  lastNotice: number,
): NoticeSummary {
  const distinct = new Set(numbers);
  const expected = Math.max(0, lastNotice - afterNotice);
  return {
    noticesDelivered: numbers.length,
    noticesLost: expected - distinct.size,
    noticesDoubled: numbers.length - distinct.size,
  };
}
