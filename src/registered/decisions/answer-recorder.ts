/**
 * @file Records how one back end answers at this balancer, with exponential decay. The stats are used for
 * speed weights and ejection, and are reported to control machines.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';

/** Answer stats of one back end at this balancer. */
export interface AnswerRecorder {
  /** @returns the decayed stats; `nowMs` must not decrease between calls */
  stats(nowMs: number): AnswerStats;
  /**
   * Records an answer of usual size.
   * @param tookMs from the last data of the request to the first sign of the answer
   */
  recordAnswer(tookMs: number, nowMs: number): void;
  /** Records a short answer; its time is ignored, since errors are fast. */
  recordShortAnswer(nowMs: number): void;
  /** Changes the number of flows whose client retransmits without any sign of the back end. */
  changeStalled(by: 1 | -1): void;
}

/**
 * Long enough for some forty answers at ten per second, short enough to show a slowdown within two seconds.
 */
const DECAY_TIME_CONSTANT_MS = 4_000;

/**
 * Longer answers count as this: a client that acknowledges late, or one long request, must not make a back end look slow for
 * seconds. Among 40 answers of 30 ms, one of this length doubles the mean.
 */
const MAX_ANSWER_MS = 1_000;

/** @returns a recorder without any answer */
export function createAnswerRecorder(): AnswerRecorder {
  let answered = 0;
  let answerMs = 0;
  let short = 0;
  let stalled = 0;
  let decayedAtMs = 0;

  return {
    stats: (nowMs) => {
      decay(nowMs);
      return { stalled, answered, answerMs, short };
    },
    recordAnswer: (tookMs, nowMs) => {
      decay(nowMs);
      answered += 1;
      answerMs += Math.min(MAX_ANSWER_MS, Math.max(0, tookMs));
    },
    recordShortAnswer: (nowMs) => {
      decay(nowMs);
      short += 1;
    },
    changeStalled: (by) => {
      stalled += by;
    },
  };

  function decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - decayedAtMs) / DECAY_TIME_CONSTANT_MS);
    answered *= factor;
    answerMs *= factor;
    short *= factor;
    decayedAtMs = nowMs;
  }
}
