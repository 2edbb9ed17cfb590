/**
 * @file The minimum period between two load tables on one link. It grows with the length of the table, so that the
 * bandwidth of the exchange stays bounded whatever the size of the fleet. With 105 back ends, loads reach other balancers
 * after 1.2 s at most.
 */
import { LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/** Per link and table; a fifth of the 10 KB/s that a balancer may receive as control traffic. */
const MAX_TABLE_BYTES_PER_S = 2_000;
const MS_PER_SECOND = 1_000;

/** Lower bound for short tables; loads are used for sums by zone, which change slowly. */
export const MIN_EXCHANGE_PERIOD_MS = 500;

/** @returns the minimum time from sending these rows to sending the next ones, in milliseconds */
export function exchangePeriodMs(rows: PackedRows, shape: RowShape = LOAD_ROWS): number {
  const bytes = (rows.length / shape.numbers) * shape.bytes;
  const boundedMs = (bytes / MAX_TABLE_BYTES_PER_S) * MS_PER_SECOND;
  return Math.max(MIN_EXCHANGE_PERIOD_MS, Math.round(boundedMs));
}
