/**
 * @file Derives the number of copies that a group keeps, and the silence after which it removes a voter, from the
 * number of machines that may be lost at the same time. A replacement must be a voter before its catch-up time is over,
 * since the next machine may be lost from then on.
 */
import type { GroupOptions } from '../group/group-options.js';

/** Fraction of the catch-up time; the rest is left for the commit of the removal and a possible election before it. */
const VOTER_REMOVAL_FRACTION = 0.5;

/**
 * @param tolerableLosses machines that may be lost at the same time
 * @param catchUpMs time after its start for which a replacement still counts as lost, in milliseconds
 * @returns the options of the group for this tolerance
 */
export function groupDurability(
  tolerableLosses: number,
  catchUpMs: number,
): Pick<GroupOptions, 'tolerableLosses' | 'minimumCopies' | 'removeVoterAfterMs'> {
  return {
    tolerableLosses,
    minimumCopies: tolerableLosses + 1,
    removeVoterAfterMs: catchUpMs * VOTER_REMOVAL_FRACTION,
  };
}
