/**
 * @file Limits how often a load table is sent on a link: a changed one once per exchange period (exchange-period.ts),
 * an unchanged one only as a refresh before it expires at the receiver.
 */
import { exchangePeriodMs } from './exchange-period.js';
import { hasSameRows, LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/** Send state of one table, for one link or several that get the same tables. */
export interface TableThrottle {
  /** @returns true while nothing may be sent, so that the table need not be computed */
  isThrottled(nowMs: number): boolean;
  /** @returns true if the table is to be sent now; it is then recorded as sent */
  admit(rows: PackedRows, nowMs: number): boolean;
}

/**
 * @param refreshMs an unchanged table is sent again after this time, in milliseconds
 * @returns a throttle that admits the first table
 */
export function createTableThrottle(
  refreshMs = Number.POSITIVE_INFINITY,
  shape: RowShape = LOAD_ROWS,
): TableThrottle {
  let sent: PackedRows | undefined;
  let sentAtMs = Number.NEGATIVE_INFINITY;
  let nextAtMs = Number.NEGATIVE_INFINITY;

  return { isThrottled, admit };

  function isThrottled(nowMs: number): boolean {
    return nowMs < nextAtMs;
  }

  function admit(rows: PackedRows, nowMs: number): boolean {
    const isDue = sent === undefined || !hasSameRows(rows, sent) || nowMs - sentAtMs >= refreshMs;
    if (!isDue || isThrottled(nowMs)) {
      return false;
    }
    sent = rows;
    sentAtMs = nowMs;
    nextAtMs = nowMs + exchangePeriodMs(rows, shape);
    return true;
  }
}

/** @returns the rows to send now, recorded as sent; undefined if nothing is to be sent */
export function rowsToSend(
  throttle: TableThrottle,
  createRows: () => PackedRows,
  nowMs: number,
): PackedRows | undefined {
  if (throttle.isThrottled(nowMs)) {
    return undefined;
  }
  const rows = createRows();
  return throttle.admit(rows, nowMs) ? rows : undefined;
}
