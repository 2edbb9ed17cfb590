/**
 * @file What the flows of back ends show of how well these answer, as processes tell it to each other beside the
 * loads. Sums over balancers say more than any one of them sees: of 80 balancers each sees one answer of a back end in
 * ten seconds, all together some ten a second.
 */
import { eachRow, type PackedRows, type RowShape } from './packed-rows.js';

/** How a back end answers, as far as one process or several have seen it. */
export interface AnswerStats {
  /** Flows whose client has sent the same again, and which have shown no sign of the back end since. */
  readonly stalled: number;
  /** Answers of usual size that came lately; older ones count for less. */
  readonly answered: number;
  /** What they took together, from the last data of the request to the first sign of the answer, in milliseconds. */
  readonly answerMs: number;
  /** Answers that came lately and were far shorter than is usual on their route; older ones count for less. */
  readonly short: number;
}

/** Rows of five numbers: token, stalled flows, answers in tenths, milliseconds, short answers in tenths. */
export type PackedAnswerStats = PackedRows;

/** Token, stalled flows, answers in parts, milliseconds, short answers in parts. */
export const ANSWER_STATS_ROWS: RowShape = { numbers: 5, bytes: 11 };

/** Answers that fade are no whole numbers; they travel in so many parts. */
const PARTS_PER_ANSWER = 10;

/** @returns the entries as a flat list; what would be all 0 is left out */
export function packAnswerStats(
  entries: Iterable<readonly [token: number, signals: AnswerStats]>,
): PackedAnswerStats {
  const packed: number[] = [];
  for (const [token, { stalled, answered, answerMs, short }] of entries) {
    const parts = Math.round(answered * PARTS_PER_ANSWER);
    const shortParts = Math.round(short * PARTS_PER_ANSWER);
    if (stalled > 0 || parts > 0 || shortParts > 0) {
      packed.push(token, stalled, parts, Math.round(answerMs), shortParts);
    }
  }
  return packed;
}

/** Calls back with each entry of a flat list; one that is cut short is passed over. */
export function eachAnswerStats(
  packed: PackedAnswerStats,
  take: (token: number, signals: AnswerStats) => void,
): void {
  eachRow(packed, ANSWER_STATS_ROWS, (token, row) => {
    const [stalled = 0, parts = 0, answerMs = 0, shortParts = 0] = row;
    const answered = parts / PARTS_PER_ANSWER;
    take(token, { stalled, answered, answerMs, short: shortParts / PARTS_PER_ANSWER });
  });
}
