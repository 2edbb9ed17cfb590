/**
 * @file Counts lost and duplicate notices of a feed.
 */

/** Counts for one feed, or totals over several. */
export interface NoticeSummary {
  /** Notices delivered, including duplicates. */
  readonly noticesDelivered: number;
  /** Expected notices that were not delivered. */
  readonly noticesLost: number;
  /** Notices delivered more than once. */
  readonly noticesDoubled: number;
}

/**
 * @param numbers of the delivered notices
 * @param afterNotice number of the last notice that precedes the feed
 * @param lastNotice number of the last notice expected
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
