/**
 * @file What the flows through this balancer show of how one back end answers. Answers fade, so that a back end that
 * was slow some seconds ago is not held for slow.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';

/** How one back end answers, as seen here. */
export interface AnswerRecorder {
  /** @returns what is known now */
  stats(nowMs: number): AnswerStats;
  /**
   * Takes one more answer.
   * @param tookMs from the last data of the request to the first sign of the answer
   */
  recordAnswer(tookMs: number, nowMs: number): void;
  /** Takes an answer that is far shorter than is usual: its time says nothing of how fast the back end works. */
  recordShortAnswer(nowMs: number): void;
  /** One flow more, or one less, whose client has sent the same again without any sign of the back end. */
  changeStalled(by: 1 | -1): void;
}

/**
 * After so long an answer counts for a third. Where ten answers a second reach a back end from the whole fleet, about
 * forty are known of it, and one that turns five times slower counts as twice as slow after two seconds.
 */
const FADE_MS = 4_000;

/**
 * One answer counts as no more: a client that acknowledges late, or one long request, must not make a back end look slow
 * for seconds. Of 40 answers of 30 ms one of this length doubles the mean.
 */
const MAX_ANSWER_MS = 1_000;

/** @returns a record of nothing */
export function createAnswerRecorder(): AnswerRecorder {
  let answered = 0;
  let answerMs = 0;
  let short = 0;
  let stalled = 0;
  let fadedAtMs = 0;

  return {
    stats: (nowMs) => {
      fade(nowMs);
      return { stalled, answered, answerMs, short };
    },
    recordAnswer: (tookMs, nowMs) => {
      fade(nowMs);
      answered += 1;
      answerMs += Math.min(MAX_ANSWER_MS, Math.max(0, tookMs));
    },
    recordShortAnswer: (nowMs) => {
      fade(nowMs);
      short += 1;
    },
    changeStalled: (by) => {
      stalled += by;
    },
  };

  function fade(nowMs: number): void {
    const left = Math.exp(-(nowMs - fadedAtMs) / FADE_MS);
    answered *= left;
    answerMs *= left;
    short *= left;
    fadedAtMs = nowMs;
  }
}
