/**
 * @file How many copies does a group keep, and when does it give up a voter?
 *
 * Inputs: how many machines may be lost at the same time, and how long after its start a machine that replaces a lost one
 * counts as lost itself, in milliseconds.
 *
 * Returns: on how many disks an entry lies before it is acknowledged, so that it survives the loss of as many machines
 * as are tolerated; and after what silence a surplus voter is removed. The removal must be over, and the
 * successor a voter, before the successor counts, since the next machine may be lost from then on.
 */
import type { GroupOptions } from '../group/group-options.js';

/**
 * Part of the catch-up time after which a silent voter is removed; the rest is left for the commit of the removal and for
 * an election that may come first. Not measured; a group that loses its quorum when a second machine goes right after
 * the first was replaced would show it too large, voters that are removed while they are merely slow too small.
 */
const REMOVE_VOTER_SHARE = 0.5;

/**
 * @param tolerableLosses machines that may be lost at the same time
 * @param catchUpMs a replacement counts as lost for so long after its start, in milliseconds
 * @returns the options of the group that follow from it
 */
export function groupDurability(
  tolerableLosses: number,
  catchUpMs: number,
): Pick<GroupOptions, 'tolerableLosses' | 'minimumCopies' | 'removeVoterAfterMs'> {
  return {
    tolerableLosses,
    minimumCopies: tolerableLosses + 1,
    removeVoterAfterMs: catchUpMs * REMOVE_VOTER_SHARE,
  };
}
