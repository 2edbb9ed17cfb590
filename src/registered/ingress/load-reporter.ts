/**
 * @file When a balancer tells the control machine that feeds it what passes here, and how back ends answer: each where it
 * has changed, no more often than its length allows.
 */
import { ANSWER_STATS_ROWS } from '../load-exchange/answer-stats.js';
import { createLoadOutlet, rowsToSend } from '../load-exchange/load-outlet.js';
import type { LoadReportMessage } from '../group/group-messages.js';
import { ownLoads, ownAnswerStats } from './feed-step.js';
import type { IngressState } from './ingress-state.js';

/** What was told on one link. */
export interface LoadReporter {
  /** @returns what is to be told now; it counts as told then */
  due(nowMs: number): LoadReportMessage | undefined;
}

/** @returns a reporter that has told nothing yet */
export function createLoadReporter(state: IngressState): LoadReporter {
  const loadsOutlet = createLoadOutlet();
  const signalsOutlet = createLoadOutlet(Number.POSITIVE_INFINITY, ANSWER_STATS_ROWS);

  return { due };

  function due(nowMs: number): LoadReportMessage | undefined {
    const loads = rowsToSend(loadsOutlet, () => ownLoads(state), nowMs);
    const signals = rowsToSend(signalsOutlet, () => ownAnswerStats(state, nowMs), nowMs);
    return loads === undefined && signals === undefined
      ? undefined
      : { type: 'load-report', ...(loads && { loads }), ...(signals && { signals }) };
  }
}
