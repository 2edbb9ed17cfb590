/**
 * @file How often loads are told: as often as is useful, and less often where the lists are long, so that
 * the bytes of a link stay bounded whatever the size of the fleet.
 */
import { LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/** What a balancer may get of one table each second; a part of the 10 KB that control may take of its link. */
const TABLE_BYTES_PER_S = 2_000;
const MS_PER_SECOND = 1_000;

/** Time between two lists on one link where they are short, in milliseconds: sums over a zone change slowly. */
export const SHORTEST_EXCHANGE_PERIOD_MS = 500;

/**
 * @returns the time until the next list after one of this length, in milliseconds
 */
export function exchangePeriodMs(rows: PackedRows, shape: RowShape = LOAD_ROWS): number {
  const bytes = (rows.length / shape.numbers) * shape.bytes;
  const boundedMs = (bytes / TABLE_BYTES_PER_S) * MS_PER_SECOND;
  return Math.max(SHORTEST_EXCHANGE_PERIOD_MS, Math.round(boundedMs));
}
