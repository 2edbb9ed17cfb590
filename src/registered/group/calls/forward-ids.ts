/**
 * @file By which number does the leader's reply find the call that it answers?
 *
 * Input: the number of this start of the machine. Returns the number of each call that is forwarded: the start in the
 * high bits, a count in the low ones. The leader sends it back as it came, so the wire has one number, and machines that
 * know nothing of starts work together with those that do.
 *
 * Reason: the leader may hold a call for as long as a quorum takes, and reply when the machine that forwarded it has
 * started again. A count alone begins anew then, and the reply would answer another call: a client was told `accepted`
 * for a configuration that nobody had committed (docs/incidents/forwarded-call-of-another-start.md). A call without its
 * reply is given up at its deadline, which promises nothing.
 *
 * Tests: test/registered/group/forwarded-calls, restarted-follower. Log lines: `call forwarded`, `leader replied`.
 */
import type { Branded } from '../../../shared/common/branded.js';

/** Names one start of a control machine. */
export type StartNumber = Branded<number, 'StartNumber'>;

/** Numbers of the calls that one start forwards. */
export interface ForwardIds {
  /** @returns a number that no other call of this start has, and none of the starts shortly before */
  next(): number;
  /** @returns true where a number was given by this start */
  readonly isOfThisStart: (forwardId: number) => boolean;
}

/**
 * Starts have 31 bits: drawn at random, two starts in a row are the same once in 2 × 10^9, without a write that a start
 * would have to wait for on a full disk.
 */
export const START_BOUND = 2 ** 31;
/** Calls of one start have the other 22 of the 53 bits of a whole number; the first comes again after 4 million. */
const COUNT_BOUND = 2 ** 22;

/**
 * @param drawn a whole number from 0 (included) to `START_BOUND` (excluded)
 * @returns the number of a start
 */
export function startNumberOf(drawn: number): StartNumber {
  return drawn as StartNumber;
}

/** @returns the numbers of a start that has forwarded nothing yet */
export function createForwardIds(start: StartNumber): ForwardIds {
  const firstId = start * COUNT_BOUND;
  let count = 0;

  return {
    next,
    isOfThisStart: (forwardId) => Math.floor(forwardId / COUNT_BOUND) === start,
  };

  function next(): number {
    count = (count + 1) % COUNT_BOUND;
    return firstId + count;
  }
}
