/**
 * @file What the flows through this balancer show of one back end: requests in progress, signs of life, answers. The
 * flow activities change it with each packet; placement, reports to control machines and metrics read it.
 */
import { createAnswerRecorder, type AnswerRecorder } from '../decisions/answer-recorder.js';

/** One back end as the flows here show it. */
export interface LocalActivity {
  /** Requests that seem to be in progress, with opens that have not brought their request yet. */
  readonly busy: number;
  /** When a client last acknowledged something new of the back end, in milliseconds; minus infinity for never. */
  readonly lastProgressAtMs: number;
  /** How it answers here. */
  readonly answers: AnswerRecorder;
  changeBusy(by: 1 | -1): void;
  recordProgress(nowMs: number): void;
}

/** @returns the activity of a back end without any flow */
export function createLocalActivity(): LocalActivity {
  // Plain fields: a choice among 84 back ends that read them through getters took half as long again.
  const activity = {
    busy: 0,
    lastProgressAtMs: Number.NEGATIVE_INFINITY,
    answers: createAnswerRecorder(),
    changeBusy: (by: 1 | -1) => {
      activity.busy += by;
    },
    recordProgress: (nowMs: number) => {
      activity.lastProgressAtMs = nowMs;
    },
  };
  return activity;
}
