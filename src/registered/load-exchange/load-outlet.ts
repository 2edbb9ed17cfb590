/**
 * @file When is a table of the load exchange sent on a link?
 *
 * Inputs: the table, the one that was sent last, and the time, in milliseconds. Sent is a table that has changed, at
 * most once in the period that follows from the length of the last one (exchange-period.ts); and an unchanged one after
 * `refreshMs`, where the receiver forgets it otherwise. An outlet owns what was sent last on its link.
 */
import { exchangePeriodMs } from './exchange-period.js';
import { hasSameRows, LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/** What was sent on one link, or on several that are sent the same. */
export interface LoadOutlet {
  /** @returns true while nothing may be sent, so that the table need not be made */
  isWaiting(nowMs: number): boolean;
  /** @returns true where the table is to be sent now; it counts as sent then */
  offer(rows: PackedRows, nowMs: number): boolean;
}

/**
 * @param refreshMs an unchanged table is sent again after this time, in milliseconds
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

  function offer(rows: PackedRows, nowMs: number): boolean {
    const isDue = sent === undefined || !hasSameRows(rows, sent) || nowMs - sentAtMs >= refreshMs;
    if (!isDue || isWaiting(nowMs)) {
      return false;
    }
    sent = rows;
    sentAtMs = nowMs;
    nextAtMs = nowMs + exchangePeriodMs(rows, shape);
    return true;
  }
}

/** @returns the rows of a table that is to be sent now, which count as sent then; undefined where none is */
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
