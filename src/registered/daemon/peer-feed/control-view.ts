/**
 * @file State of the control machine that feeds a giver of peer feeds: whether its messages may be passed on.
 */
import {
  refusePeerFeed,
  refusePeerSubscriber,
  type PeerFeedRefusal,
} from '../../decisions/peer-feed-admission.js';
import type { ControlInfo, FeedMessage } from '../../group/group-messages.js';
import { isFeedCurrent, type IngressState } from '../../ingress/ingress-state.js';

/** The control machine that feeds this balancer. */
export interface ControlView {
  /** Control machines as last named by one of them. */
  readonly machines: readonly ControlInfo[];
  /**
   * Records a message that has been applied.
   * @returns whether it may be passed on, and whether messages before it were not, so that all must be stated again
   */
  record(
    message: FeedMessage,
    nowMs: number,
  ): { readonly isCurrent: boolean; readonly isResumed: boolean };
  /** @returns why a further subscriber is refused; undefined if it is accepted */
  subscriberRefusal(subscribers: number, nowMs: number): PeerFeedRefusal | undefined;
  /** @returns why all feeds end; a control machine that is not current ends none at once, since another may follow soon */
  feedRefusal(nowMs: number): PeerFeedRefusal | undefined;
}

/** @param isPaused records a turn of the process; true after a pause in which messages may have waited */
export function createControlView(
  state: IngressState,
  isPaused: (nowMs: number) => boolean,
): ControlView {
  let machines: readonly ControlInfo[] = [];
  /** False after a pause or a message of a control machine that is not current, until one has sent everything. */
  let isCurrent = false;

  return {
    get machines() {
      return machines;
    },
    record,
    subscriberRefusal,
    feedRefusal,
  };

  function record(message: FeedMessage, nowMs: number) {
    machines = message.controls ?? machines;
    const wasCurrent = isCurrent;
    isCurrent = !isPaused(nowMs) && message.isCurrent && (wasCurrent || message.isComplete);
    return { isCurrent, isResumed: !wasCurrent };
  }

  function subscriberRefusal(subscribers: number, nowMs: number): PeerFeedRefusal | undefined {
    isCurrent &&= !isPaused(nowMs);
    const { isStopping } = state;
    const isGiving = isCurrent && isFeedCurrent(state, nowMs);
    return refusePeerSubscriber({ isCurrent: isGiving, isStopping, subscribers });
  }

  function feedRefusal(nowMs: number): PeerFeedRefusal | undefined {
    const wasPaused = isPaused(nowMs);
    isCurrent &&= !wasPaused;
    const { isStopping } = state;
    const isGiving = !wasPaused && isFeedCurrent(state, nowMs);
    return refusePeerFeed({ isCurrent: isGiving, isStopping });
  }
}
