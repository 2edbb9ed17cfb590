/**
 * @file Decides whether a balancer gives its feed to another one. It must be fed by a control machine itself: what was learned
 * from a peer is not passed on, so there are no chains and no loops.
 */

/** Why a balancer gives no feed, or no longer; sent to the subscriber. */
export type PeerFeedRefusal =
  /** No control machine has been current here lately. */
  | 'not-current'
  /** There are as many subscribers as are served. */
  | 'full'
  /** The subscriber does not read, or the link of the machine is too narrow. */
  | 'behind'
  /** The balancer is shutting down. */
  | 'stopping';

/** State of the balancer that is asked. */
export interface PeerFeedGiver {
  readonly isCurrent: boolean;
  readonly isStopping: boolean;
  readonly subscribers: number;
}

/** Bounds the bytes that a cut between many balancers and control costs those that still have a feed. */
export const MAX_PEER_SUBSCRIBERS = 8;

/** @returns why a further subscriber is refused; undefined if it is accepted */
export function refusePeerSubscriber(giver: PeerFeedGiver): PeerFeedRefusal | undefined {
  return refusePeerFeed(giver) ?? (giver.subscribers >= MAX_PEER_SUBSCRIBERS ? 'full' : undefined);
}

/** @returns why the feeds of all subscribers end; undefined while they go on */
export function refusePeerFeed({
  isCurrent,
  isStopping,
}: Omit<PeerFeedGiver, 'subscribers'>): PeerFeedRefusal | undefined {
  if (isStopping) {
    return 'stopping';
  }
  return isCurrent ? undefined : 'not-current';
}
