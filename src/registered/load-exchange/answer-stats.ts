/**
 * @file The table of answer stats: how back ends answer as their flows show it, exchanged beside the loads. Sums over
 * balancers say more than one of them can see: of 80 balancers each sees one answer of a back end in ten seconds, all
 * together some ten a second. Messages call this table `signals`.
 */
import { eachRow, type PackedRows, type RowShape } from './packed-rows.js';

/** How a back end answers, as one process or several have seen it. */
export interface AnswerStats {
  /** Flows whose client has repeated what it sent, with nothing from the back end since. */
  readonly stalled: number;
  /** Answers of usual size that came lately; older ones count for less. */
  readonly answered: number;
  /** What they took together, from the last data of the request to the first of the answer, in milliseconds. */
  readonly answerMs: number;
  /** Answers that came lately and were far shorter than is usual on their route; older ones count for less. */
  readonly short: number;
}

/** Rows of ANSWER_STATS_ROWS. */
export type PackedAnswerStats = PackedRows;

/** Rows of token, stalled flows, answers in tenths, their milliseconds, short answers in tenths. */
export const ANSWER_STATS_ROWS: RowShape = { numbers: 5, bytes: 11 };

/** Counts of answers decay, so they are no whole numbers; they travel in tenths. */
const PARTS_PER_ANSWER = 10;

/** @returns the entries as a flat list; what would be all 0 is left out */
export function packAnswerStats(
  entries: Iterable<readonly [token: number, stats: AnswerStats]>,
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

/** Calls back with each entry of a flat list; one that is cut short is left out. */
export function eachAnswerStats(
  packed: PackedAnswerStats,
  visit: (token: number, stats: AnswerStats) => void,
): void {
  eachRow(packed, ANSWER_STATS_ROWS, (token, row) => {
    const [stalled = 0, parts = 0, answerMs = 0, shortParts = 0] = row;
    const answered = parts / PARTS_PER_ANSWER;
    visit(token, { stalled, answered, answerMs, short: shortParts / PARTS_PER_ANSWER });
  });
}
