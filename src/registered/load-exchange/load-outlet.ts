/**
 * @file When a list of loads is sent on a link: where it has changed, at most once in the period that follows
 * from its length, and now and then unchanged where the receiver forgets it otherwise.
 */
import { exchangePeriodMs } from './exchange-period.js';
import { isSameRows, LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/** What was sent on one link, or on several that get the same. */
export interface LoadOutlet {
  /** @returns true while nothing may be sent, so that the list need not be made */
  isWaiting(nowMs: number): boolean;
  /** @returns true where the list is to be sent now; it counts as sent then */
  offer(loads: PackedRows, nowMs: number): boolean;
}

/**
 * @param refreshMs an unchanged list is sent again after this time, in milliseconds
 * @returns an outlet that has sent nothing yet
 */
export function createLoadOutlet(
  refreshMs = Number.POSITIVE_INFINITY,
  shape: RowShape = LOAD_ROWS,
): LoadOutlet {
  let sent: PackedRows | undefined;
  let sentAtMs = Number.NEGATIVE_INFINITY;
  let nextAtMs = Number.NEGATIVE_INFINITY;

  return { isWaiting, offer };

  function isWaiting(nowMs: number): boolean {
    return nowMs < nextAtMs;
  }

  function offer(loads: PackedRows, nowMs: number): boolean {
    const isNews = sent === undefined || !isSameRows(loads, sent) || nowMs - sentAtMs >= refreshMs;
    if (!isNews || isWaiting(nowMs)) {
      return false;
    }
    sent = loads;
    sentAtMs = nowMs;
    nextAtMs = nowMs + exchangePeriodMs(loads, shape);
    return true;
  }
}

/** @returns a table whose time has come; undefined where it has not, or where it says what it said before */
export function rowsToSend(
  outlet: LoadOutlet,
  make: () => PackedRows,
  nowMs: number,
): PackedRows | undefined {
  if (outlet.isWaiting(nowMs)) {
    return undefined;
  }
  const rows = make();
  return outlet.offer(rows, nowMs) ? rows : undefined;
}
