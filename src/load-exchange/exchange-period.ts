/**
 * @file How often loads are told: as often as is useful, and less often where the lists are long, so that
 * the bytes of a link stay bounded whatever the size of the fleet.
 */
import { NUMBERS_PER_LOAD, type PackedLoads } from './backend-load.js';

/** What a balancer may get of loads each second; a part of the 10 KB that control may take of its link. */
const LOAD_BYTES_PER_S = 2_000;
/** A token takes five bytes, a small number one. */
const BYTES_PER_LOAD = 6;
const MS_PER_SECOND = 1_000;

/** Time between two lists on one link where they are short, in milliseconds: sums over a zone change slowly. */
export const SHORTEST_EXCHANGE_PERIOD_MS = 500;

/**
 * @returns the time until the next list after one of this length, in milliseconds
 */
export function exchangePeriodMs(loads: PackedLoads): number {
  const bytes = (loads.length / NUMBERS_PER_LOAD) * BYTES_PER_LOAD;
  const boundedMs = (bytes / LOAD_BYTES_PER_S) * MS_PER_SECOND;
  return Math.max(SHORTEST_EXCHANGE_PERIOD_MS, Math.round(boundedMs));
}
