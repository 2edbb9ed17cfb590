/**
 * @file Reports the load, the answer stats and the suspicions of an ingress to its control machine. Each table is sent when
 * it has changed, at a rate limited by its size.
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
import {
  packSuspicions,
  SUSPICION_LIFETIME_MS,
  type PackedSuspicions,
  type Suspicion,
} from '../load-exchange/suspicion-rows.js';
import { createSuspicionThrottle } from '../load-exchange/suspicion-throttle.js';
import { createTableThrottle, rowsToSend } from '../load-exchange/table-throttle.js';
import { observeAll, sumAnswerTimes } from '../decisions/fleet-answer-stats.js';
import { lateAfterMs, ownSuspicions } from '../decisions/shared-evidence.js';
import type { IngressState } from './ingress-state.js';

/** Send state of the reports on one link. */
export interface LoadReporter {
  /** @returns the report to send now, recorded as sent; undefined if none is due */
  due(nowMs: number): LoadReportMessage | undefined;
}

/** Reports on an earlier link, and the sums with them, have expired after this time; waits would count twice before. */
const HOLD_WAITS_MS = 2 * SUSPICION_LIFETIME_MS;

/** After a longer pause, the reports may have gone over another link meanwhile. */
const MAX_PAUSE_MS = 500;

/** @returns a reporter for a new link */
export function createLoadReporter(state: IngressState): LoadReporter {
  const loadThrottle = createTableThrottle();
  const answerStatsThrottle = createTableThrottle(Number.POSITIVE_INFINITY, ANSWER_STATS_ROWS);
  const suspicionThrottle = createSuspicionThrottle();
  let dueAtMs = Number.NEGATIVE_INFINITY;
  let reportsWaitsFromMs = Number.NEGATIVE_INFINITY;

  return { due };

  function due(nowMs: number): LoadReportMessage | undefined {
    const loads = rowsToSend(loadThrottle, () => localLoads(state), nowMs);
    const signals = rowsToSend(answerStatsThrottle, () => localAnswerStats(state, nowMs), nowMs);
    const suspects = suspicionsToSend(nowMs);
    if (suspects !== undefined) {
      // Older programs reject a report without another table.
      return {
        type: 'load-report',
        loads: loads ?? localLoads(state),
        ...(signals && { signals }),
        suspects,
      };
    }
    return loads === undefined && signals === undefined
      ? undefined
      : { type: 'load-report', ...(loads && { loads }), ...(signals && { signals }) };
  }

  function suspicionsToSend(nowMs: number): PackedSuspicions | undefined {
    if (state.options.switches.sharedEvidence === 'off') {
      return undefined;
    }
    // The first table is sent even if empty, so that control machines begin to watch their contact.
    const isFirst = nowMs - dueAtMs > MAX_PAUSE_MS;
    if (isFirst) {
      reportsWaitsFromMs = nowMs + HOLD_WAITS_MS;
    }
    dueAtMs = nowMs;
    const holdsWaits = nowMs < reportsWaitsFromMs;
    recordLateRequests(state, nowMs);
    const suspicions = [...state.backends.all()]
      .flatMap((backend) => ownSuspicions(backend, nowMs))
      .filter(({ lastSignAtMs }) => !holdsWaits || lastSignAtMs !== -Infinity)
      .map((suspicion) => (holdsWaits ? withoutWaits(suspicion) : suspicion));
    return suspicionThrottle.admit(suspicions, nowMs) || isFirst
      ? packSuspicions(suspicions, nowMs)
      : undefined;
  }
}

function withoutWaits(suspicion: Suspicion): Suspicion {
  return { ...suspicion, balancers: 0, flows: 0, repeats: 0 };
}

/** @returns the requests in progress per back end, through this balancer; idle back ends are omitted */
export function localLoads(state: IngressState): PackedLoads {
  const loads: BackendLoadEntry[] = [];
  for (const { token, local } of state.backends.all()) {
    if (local.busy > 0) {
      loads.push({ token, busy: local.busy });
    }
  }
  return packLoads(loads);
}

function localAnswerStats(state: IngressState, nowMs: number): PackedAnswerStats {
  return packAnswerStats(
    [...state.backends.all()].map(
      ({ token, local }) => [token, local.answers.stats(nowMs)] as const,
    ),
  );
}

/** Records requests that wait far longer than is usual in their service. */
function recordLateRequests({ activities, backends }: IngressState, nowMs: number): void {
  const lateAfterByService = new Map<string, number>();
  activities.recordLateRequests(({ service }) => {
    const lateMs =
      lateAfterByService.get(service) ??
      lateAfterMs(sumAnswerTimes(observeAll(backends.activeOf(service), nowMs)));
    lateAfterByService.set(service, lateMs);
    return lateMs;
  }, nowMs);
}
