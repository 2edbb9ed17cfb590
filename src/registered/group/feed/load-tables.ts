/**
 * @file A load table on a control machine: the totals over all balancers, and the throttle for the sums that are sent
 * to the other control machines. There is one for loads and one for answer stats.
 */
import { createTableThrottle, type TableThrottle } from '../../load-exchange/table-throttle.js';
import { createLoadTotals, type LoadTotals } from '../../load-exchange/load-totals.js';
import type { RowShape } from '../../load-exchange/packed-rows.js';

/** A table of numbers per back end that control machines exchange. */
export interface ExchangedTable {
  readonly totals: LoadTotals;
  /** Limits how often the sums over the connected balancers are sent to the other control machines. */
  readonly sumsThrottle: TableThrottle;
}

/** Unchanged sums are sent again after this time; well below their lifetime. */
const LOAD_SUMS_REFRESH_MS = 1_000;
/** Two refresh intervals and a margin; back ends look idle once the sums of a control machine expire. */
const LOAD_SUMS_LIFETIME_MS = 2_500;

/** @returns an empty table */
export function createExchangedTable(shape: RowShape): ExchangedTable {
  return {
    totals: createLoadTotals(LOAD_SUMS_LIFETIME_MS, shape),
    sumsThrottle: createTableThrottle(LOAD_SUMS_REFRESH_MS, shape),
  };
}
