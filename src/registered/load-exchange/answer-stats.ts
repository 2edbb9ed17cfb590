/**
 * @file The table of answer stats: passive health data of back ends, exchanged along with the loads and aggregated over
 * all balancers, since a single one sees too few answers. Messages call this table `signals`.
 */
import { eachRow, type PackedRows, type RowShape } from './packed-rows.js';

/** How a back end answers, as observed by one or more processes. */
export interface AnswerStats {
  /** Flows whose client retransmitted and got nothing from the back end since. */
  readonly stalled: number;
  /** Recent answers of usual size; decays over time. */
  readonly answered: number;
  /** Sum of their latencies in milliseconds, each from the last data of the request to the first of the answer. */
  readonly answerMs: number;
  /** Recent answers that were far shorter than usual on their route; decays over time. */
  readonly short: number;
}

/** Rows with the shape `ANSWER_STATS_ROWS`. */
export type PackedAnswerStats = PackedRows;

/** Each row: token, stalled flows, answers in tenths, sum of their latencies in ms, short answers in tenths. */
export const ANSWER_STATS_ROWS: RowShape = { numbers: 5, bytes: 11 };

/** Counts of answers decay to fractions; they are sent in tenths. */
const PARTS_PER_ANSWER = 10;

/** @returns the entries as a flat list, without those whose counts round to 0 */
export function packAnswerStats(
  entries: Iterable<readonly [token: number, stats: AnswerStats]>,
): PackedAnswerStats {
  const packed: number[] = [];
  for (const [token, { stalled, answered, answerMs, short }] of entries) {
    const answeredParts = Math.round(answered * PARTS_PER_ANSWER);
    const shortParts = Math.round(short * PARTS_PER_ANSWER);
    if (stalled > 0 || answeredParts > 0 || shortParts > 0) {
      packed.push(token, stalled, answeredParts, Math.round(answerMs), shortParts);
    }
  }
  return packed;
}

/** Calls `visit` for each entry of a flat list; skips an incomplete last entry. */
export function eachAnswerStats(
  packed: PackedAnswerStats,
  visit: (token: number, stats: AnswerStats) => void,
): void {
  eachRow(packed, ANSWER_STATS_ROWS, (token, row) => {
    const [stalled = 0, answeredParts = 0, answerMs = 0, shortParts = 0] = row;
    const answered = answeredParts / PARTS_PER_ANSWER;
    visit(token, { stalled, answered, answerMs, short: shortParts / PARTS_PER_ANSWER });
  });
}
