/**
 * @file When an ingress reports its load and its answer stats to the control machine that feeds it: each where it has
 * changed, no more often than its length allows. A reporter owns what was sent on one link.
 */
import type { LoadReportMessage } from '../group/group-messages.js';
import {
  ANSWER_STATS_ROWS,
  packAnswerStats,
  type PackedAnswerStats,
} from '../load-exchange/answer-stats.js';
import {
  packLoads,
  type BackendLoadEntry,
  type PackedLoads,
} from '../load-exchange/backend-load.js';
import { createTableThrottle, rowsToSend } from '../load-exchange/table-throttle.js';
import type { IngressState } from './ingress-state.js';

/** Reports on one link. */
export interface LoadReporter {
  /** @returns the report that is to be sent now, and counts as sent; undefined for none */
  due(nowMs: number): LoadReportMessage | undefined;
}

/** @returns a reporter that has sent nothing yet */
export function createLoadReporter(state: IngressState): LoadReporter {
  const loadsOutlet = createTableThrottle();
  const statsOutlet = createTableThrottle(Number.POSITIVE_INFINITY, ANSWER_STATS_ROWS);

  return { due };

  function due(nowMs: number): LoadReportMessage | undefined {
    const loads = rowsToSend(loadsOutlet, () => ownLoads(state), nowMs);
    const signals = rowsToSend(statsOutlet, () => ownAnswerStats(state, nowMs), nowMs);
    return loads === undefined && signals === undefined
      ? undefined
      : { type: 'load-report', ...(loads && { loads }), ...(signals && { signals }) };
  }
}

/** @returns requests in progress by back end; back ends without any are left out */
export function ownLoads(state: IngressState): PackedLoads {
  const loads: BackendLoadEntry[] = [];
  for (const { token, local } of state.backends.all()) {
    if (local.busy > 0) {
      loads.push({ token, busy: local.busy });
    }
  }
  return packLoads(loads);
}

function ownAnswerStats(state: IngressState, nowMs: number): PackedAnswerStats {
  return packAnswerStats(
    [...state.backends.all()].map(
      ({ token, local }) => [token, local.answers.stats(nowMs)] as const,
    ),
  );
}
