/**
 * @file Limits how often a table of suspicions is sent on a link. A changed one is sent almost at once, since each exchange
 * delays the decisions of all balancers; growing ages alone are no change.
 */
import { SUSPICION_ROWS, type Suspicion } from './suspicion-rows.js';

/** Send state of the table of suspicions, for one link or several that get the same tables. */
export interface SuspicionThrottle {
  /** @returns true if the table is to be sent now; it is then recorded as sent */
  admit(suspicions: readonly Suspicion[], nowMs: number): boolean;
}

const MIN_PERIOD_MS = 100;
/** Per link, while back ends are suspected; two fifths of the 10 KB/s that a balancer may receive as control traffic. */
const MAX_BYTES_PER_S = 4_000;
/** An unchanged table is sent again after this time; two refreshes fit into its lifetime. */
const REFRESH_MS = 1_000;
/** Signs of life that follow closely on one another say the same. */
const SIGN_RESOLUTION_MS = 250;
const MS_PER_SECOND = 1_000;

/** @returns a throttle that admits the first table with rows */
export function createSuspicionThrottle(): SuspicionThrottle {
  let sent = '';
  let sentAtMs = Number.NEGATIVE_INFINITY;
  let nextAtMs = Number.NEGATIVE_INFINITY;

  return { admit };

  function admit(suspicions: readonly Suspicion[], nowMs: number): boolean {
    const content = suspicions.map(contentOf).sort().join(';');
    const isRefreshDue = content !== '' && nowMs - sentAtMs >= REFRESH_MS;
    if (nowMs < nextAtMs || (content === sent && !isRefreshDue)) {
      return false;
    }
    sent = content;
    sentAtMs = nowMs;
    const bytes = suspicions.length * SUSPICION_ROWS.bytes;
    nextAtMs = nowMs + Math.max(MIN_PERIOD_MS, (bytes / MAX_BYTES_PER_S) * MS_PER_SECOND);
    return true;
  }
}

function contentOf(suspicion: Suspicion): string {
  const { token, kind, balancers, flows, repeats, lastSignAtMs, isOverdue } = suspicion;
  const sign = Math.floor(lastSignAtMs / SIGN_RESOLUTION_MS);
  return [token, kind, balancers, flows, repeats, sign, isOverdue].join(' ');
}
