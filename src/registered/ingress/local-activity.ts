/**
 * @file Activity of one back end as observed in flows through this balancer: requests in progress, progress and answers.
 * Written by the flow activities; read by placement, load reports and metrics.
 */
import { createAnswerRecorder, type AnswerRecorder } from '../decisions/answer-recorder.js';
import type { SuspicionKind } from '../load-exchange/suspicion-rows.js';
import { createFlowWaits, type FlowWaits } from './flow-waits.js';

/** Observed activity of one back end. */
export interface LocalActivity {
  /** Estimated requests in progress, including opens whose request has not arrived yet. */
  readonly busy: number;
  /** Time of the last new acknowledgement by a client, in milliseconds; minus infinity for never. */
  readonly lastProgressAtMs: number;
  /** Time of the first acknowledgement of the last answer, in milliseconds; minus infinity for never. */
  readonly lastAnswerAtMs: number;
  readonly answers: AnswerRecorder;
  /** Flows that wait for the back end, by what they wait for. */
  readonly waits: Readonly<Record<SuspicionKind, FlowWaits>>;
  changeBusy(delta: 1 | -1): void;
  recordProgress(nowMs: number): void;
  recordAnswered(nowMs: number): void;
}

/** @returns the activity of a back end without flows */
export function createLocalActivity(): LocalActivity {
  // Plain fields instead of getters: placement reads them for every candidate.
  const activity = {
    busy: 0,
    lastProgressAtMs: Number.NEGATIVE_INFINITY,
    lastAnswerAtMs: Number.NEGATIVE_INFINITY,
    answers: createAnswerRecorder(),
    waits: { unacknowledged: createFlowWaits(), unanswered: createFlowWaits() },
    changeBusy: (delta: 1 | -1) => {
      activity.busy += delta;
    },
    recordProgress: (nowMs: number) => {
      activity.lastProgressAtMs = nowMs;
    },
    recordAnswered: (nowMs: number) => {
      activity.lastAnswerAtMs = nowMs;
    },
  };
  return activity;
}
