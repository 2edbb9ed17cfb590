/**
 * @file Decides whether an open that this balancer does not remember is placed at once, looked up at other
 * balancers, or dropped. If two balancers placed copies of one open at different back ends, the flow would
 * break. A first copy that arrives without delay cannot have been placed elsewhere; one that waited during a pause of this process
 * may have been, through a later copy. After a long pause, others have forgotten it and its client has given up.
 */
import {
  createStallDetector,
  type InputFreshness,
  type StallDetector,
} from '../../shared/common/stall-detector.js';
import { OPEN_LIFETIME_MS } from '../ingress/open-memory.js';

type OpenAdmission = 'place' | 'ask-peers' | 'drop';

/**
 * Pause of the process after which opens may have waited. Longer than a tick (100 ms), shorter than the first
 * retransmission timeout of clients (about 200 ms).
 */
const STALL_MS = 150;

/** @returns a detector that must record each turn of the process; `admitOpen` takes its freshness */
export function createOpenStallDetector(): StallDetector {
  return createStallDetector({ stallThresholdMs: STALL_MS, peerRetentionMs: OPEN_LIFETIME_MS });
}

/**
 * @param copyNumber retransmissions of the open before this one
 * @param canAskPeers false if the memory of opens is not shared or no other balancer is known
 */
export function admitOpen(
  freshness: InputFreshness,
  copyNumber: number,
  canAskPeers: boolean,
): OpenAdmission {
  switch (freshness) {
    case 'stale':
      return 'drop';
    case 'doubtful':
      return canAskPeers ? 'ask-peers' : 'place';
    case 'fresh':
      return copyNumber > 0 && canAskPeers ? 'ask-peers' : 'place';
  }
}
