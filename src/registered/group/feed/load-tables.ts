/**
 * @file A table of the load exchange on a control machine: totals over all balancers, and when the sums over the own
 * balancers are sent to the other control machines. There are two: loads, and answer stats.
 */
import { createTableThrottle, type TableThrottle } from '../../load-exchange/table-throttle.js';
import { createLoadTotals, type LoadTotals } from '../../load-exchange/load-totals.js';
import type { RowShape } from '../../load-exchange/packed-rows.js';

/** A table of numbers by back end, as control machines exchange it. */
export interface ExchangedTable {
  readonly totals: LoadTotals;
  /** When the other control machines are sent the sums of the balancers that are fed here. */
  readonly sumsOutlet: TableThrottle;
}

/**
 * Sums that have not changed are sent to the other control machines again after this time: twice the shortest period
 * of the exchange. Not measured; it only has to be well below the lifetime.
 */
const LOAD_SUMS_REFRESH_MS = 1_000;
/**
 * Sums of a control machine that says nothing count for so long: two that were lost, and a pause. Not measured; too
 * short would show as zones that look idle while a control machine stands still, too long as load that is gone.
 */
const LOAD_SUMS_LIFETIME_MS = 2_500;

/** @returns a table without any report */
export function createExchangedTable(shape: RowShape): ExchangedTable {
  return {
    totals: createLoadTotals(LOAD_SUMS_LIFETIME_MS, shape),
    sumsOutlet: createTableThrottle(LOAD_SUMS_REFRESH_MS, shape),
  };
}
