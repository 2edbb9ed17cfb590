/**
 * @file How long after one table may the next one follow on the same link?
 *
 * Inputs: the rows that were sent and what one takes, in bytes. Returns milliseconds. The period grows with the length
 * of the table, so that a link carries a bounded number of bytes a second whatever the size of the fleet. At 105 back
 * ends this makes loads at most 1.2 s old at another balancer (docs/design/registered-placement.md).
 */
import { LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/**
 * What a balancer may get of one table each second: a fifth of the 10 KB a second that control may take of its link
 * (DEVELOPERS.md, "What it is built for"). The share is not measured; larger would show as control traffic above that.
 */
const TABLE_BYTES_PER_S = 2_000;
const MS_PER_SECOND = 1_000;

/**
 * Time between two short tables on one link, in milliseconds. Loads decide on zones only, whose sums change slowly; ten
 * tables a second in place of two changed no score beyond the noise (docs/design/registered-placement.md).
 */
export const SHORTEST_EXCHANGE_PERIOD_MS = 500;

/**
 * @returns the time from these rows to the next ones, in milliseconds
 */
export function exchangePeriodMs(rows: PackedRows, shape: RowShape = LOAD_ROWS): number {
  const bytes = (rows.length / shape.numbers) * shape.bytes;
  const boundedMs = (bytes / TABLE_BYTES_PER_S) * MS_PER_SECOND;
  return Math.max(SHORTEST_EXCHANGE_PERIOD_MS, Math.round(boundedMs));
}
