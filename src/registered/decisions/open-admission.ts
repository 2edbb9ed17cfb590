/**
 * @file May an open that is not remembered here be placed at once?
 *
 * - Inputs: whether what is read now may have waited (the stall guard), the copy number of the open, whether there are
 *   other balancers to ask.
 * - Returns: place it, ask the holders of its copies first, or drop it.
 * - Reason: copies of one open may reach several balancers. Two that place them at two back ends break the flow. A first
 *   copy that has just come can't have been placed elsewhere. One that waited while this process stood still may have
 *   been, through a later copy; after a longer pause others don't remember it any more, and its client has given up.
 * - Measured: of 24 simulated seeds with balancers that stand still for 150 to 350 ms, 4 broke flows while pauses below
 *   300 ms were not noticed; none does with the pause below and claims that are renewed after a late wait.
 *
 * Setting `policy.opens`; lines `dropped reason=stale-open`, `placed how=told-by-peer`.
 */
import {
  createStallGuard,
  type InputTrust,
  type StallGuard,
} from '../../shared/common/stall-guard.js';
import { OPEN_LIFETIME_MS } from '../ingress/open-memory.js';

/** What to do with an open that is not remembered. */
type OpenAdmission = 'place' | 'ask-peers' | 'drop';

/**
 * A pause of the process from which on opens may have waited, in milliseconds. Turns are at most a tick of 100 ms apart,
 * and clients send a first copy after some 200 ms: an open that waited for less has no copy elsewhere.
 */
const STALL_MS = 150;

/** @returns the guard by which opens are admitted; it is told of each turn of the process */
export function createOpenStallGuard(): StallGuard {
  return createStallGuard({ stallMs: STALL_MS, rememberedMs: OPEN_LIFETIME_MS });
}

/**
 * @param copyNumber how many copies of the open came before it
 * @param canAskPeers false where the memory of opens is not shared, or no other balancer is known
 */
export function admitOpen(
  trust: InputTrust,
  copyNumber: number,
  canAskPeers: boolean,
): OpenAdmission {
  switch (trust) {
    case 'stale':
      return 'drop';
    case 'doubtful':
      return canAskPeers ? 'ask-peers' : 'place';
    case 'fresh':
      return copyNumber > 0 && canAskPeers ? 'ask-peers' : 'place';
  }
}
