/**
 * @file IDs of forwarded calls, which match replies of the leader to calls. An ID has the start number of the machine in
 * its high bits and a counter in its low bits, so that a late reply to a call from before a restart is not taken for the
 * reply to a new call.
 */
import type { Branded } from '../../../shared/common/branded.js';

/** Identifies one start of a control machine. */
export type StartNumber = Branded<number, 'StartNumber'>;

/** IDs of the calls that one start forwards. */
export interface ForwardIds {
  /** @returns an ID that differs from those of other calls of this start and of previous starts */
  next(): number;
  /** @returns true if this start issued the ID */
  readonly isOfThisStart: (forwardId: number) => boolean;
}

/** Start numbers are random 31-bit integers, so that a start does not have to wait for a disk write. */
export const START_BOUND = 2 ** 31;
/** The counter uses the other 22 of the 53 bits of a safe integer. */
const CALLS_PER_START = 2 ** 22;

/**
 * @param randomInteger an integer from 0 (inclusive) to `START_BOUND` (exclusive)
 * @returns a start number
 */
export function startNumberOf(randomInteger: number): StartNumber {
  return randomInteger as StartNumber;
}

/** @returns the IDs of a start that has not forwarded any call */
export function createForwardIds(start: StartNumber): ForwardIds {
  const firstId = start * CALLS_PER_START;
  let count = 0;

  return {
    next,
    isOfThisStart: (forwardId) => Math.floor(forwardId / CALLS_PER_START) === start,
  };

  function next(): number {
    count = (count + 1) % CALLS_PER_START;
    return firstId + count;
  }
}
