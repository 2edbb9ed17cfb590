/**
 * @file How has one back end answered here lately?
 *
 * - Inputs: what the flow activities see: times of answers in milliseconds, short answers, flows that stall.
 * - Returns: answer stats of this balancer, which fade, so that a back end that was slow some seconds ago counts as fast
 *   again. They are the evidence for speeds and ejection, and are reported to control machines.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';

/** How one back end answers, as seen here. */
export interface AnswerRecorder {
  /** @returns what is known now; the clock must not go back */
  stats(nowMs: number): AnswerStats;
  /**
   * Records an answer of usual size.
   * @param tookMs from the last data of the request to the first sign of the answer
   */
  recordAnswer(tookMs: number, nowMs: number): void;
  /** Records a short answer: its time says nothing of how fast the back end works. */
  recordShortAnswer(nowMs: number): void;
  /** One flow more, or one less, whose client has sent the same again without any sign of the back end. */
  changeStalled(by: 1 | -1): void;
}

/**
 * After so long an answer counts for a third. Where ten answers a second reach a back end from the whole fleet, about
 * forty are known of it, and one that turns five times slower counts as twice as slow within two seconds.
 */
const FADE_MS = 4_000;

/**
 * No answer counts as more: a client that acknowledges late, or one long request, must not make a back end look slow
 * for seconds. Of 40 answers of 30 ms one of this length doubles the mean.
 */
const MAX_ANSWER_MS = 1_000;

/** @returns a recorder without any answer */
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
