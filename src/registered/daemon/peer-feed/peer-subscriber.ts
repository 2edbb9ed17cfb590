/**
 * @file A balancer that follows the feed of this one, and the messages that wait for it.
 */
import type { BalancerInfo, ControlInfo, FeedMessage } from '../../group/group-messages.js';
import type { IngressState } from '../../ingress/ingress-state.js';
import { configMessages, fullStateMessages } from '../../ingress/peer-feed/full-state.js';
import type { PeerFeedMessage, PeerLink } from '../../ingress/peer-feed/peer-feed-messages.js';

interface PeerSubscriberOptions {
  readonly state: IngressState;
  /** The balancer that gives its feed. */
  readonly giver: BalancerInfo;
  /** Name of the subscriber. */
  readonly name: string;
  readonly link: PeerLink;
  /** Version of the configuration that it holds. */
  readonly configVersion: number;
}

/** One subscriber and its queue. */
export interface PeerSubscriber {
  readonly name: string;
  readonly link: PeerLink;
  readonly isWaiting: boolean;
  /** True if so many messages wait that it must begin anew. */
  readonly isBehind: boolean;
  /** @returns true if nothing waits and nothing has been sent since a time, in milliseconds */
  isIdleSince(sinceMs: number): boolean;
  queueMessages(messages: readonly FeedMessage[], nowMs: number): void;
  /**
   * Queues all that this balancer knows.
   * @param heldVersion version of the configuration that the subscriber holds
   * @returns false, and queues nothing, if that is too soon after the last time
   */
  beginAnew(heldVersion: number, controls: readonly ControlInfo[], nowMs: number): boolean;
  /** Replaces the back ends, balancers, zones and control machines that wait; departures and configurations stay. */
  queueFullState(controls: readonly ControlInfo[], nowMs: number): void;
  /** Queues the configuration in force unless the subscriber has it. */
  queueConfig(nowMs: number): void;
  /** Removes and returns the next message, with its age; a keep-alive if none waits. */
  next(nowMs: number): PeerFeedMessage;
}

/** A message that waits. */
interface QueuedMessage {
  readonly feed: FeedMessage;
  /** When this balancer last was current as the message was built. */
  readonly asOfMs: number;
  readonly builtAtMs: number;
}

const MAX_QUEUED_MESSAGES = 256;
/** Bounds what a subscriber that asks again costs. */
const MIN_BEGIN_INTERVAL_MS = 1_000;

/** @returns a subscriber for which nothing waits */
export function createPeerSubscriber(options: PeerSubscriberOptions): PeerSubscriber {
  const { state, giver, name, link } = options;
  let queue: QueuedMessage[] = [];
  /** Version that it holds once it has received all that waits. */
  let { configVersion } = options;
  let sentAtMs = Number.NEGATIVE_INFINITY;
  let begunAtMs = Number.NEGATIVE_INFINITY;

  return {
    name,
    link,
    get isWaiting() {
      return queue.length > 0;
    },
    get isBehind() {
      return queue.length > MAX_QUEUED_MESSAGES;
    },
    isIdleSince: (sinceMs) => queue.length === 0 && sentAtMs <= sinceMs,
    queueMessages: (messages, nowMs) => void queue.push(...queued(messages, nowMs)),
    beginAnew,
    queueFullState,
    queueConfig,
    next,
  };

  function beginAnew(
    heldVersion: number,
    controls: readonly ControlInfo[],
    nowMs: number,
  ): boolean {
    if (nowMs - begunAtMs < MIN_BEGIN_INTERVAL_MS) {
      return false;
    }
    begunAtMs = nowMs;
    configVersion = heldVersion;
    queueFullState(controls, nowMs);
    queueConfig(nowMs);
    return true;
  }

  function queueFullState(controls: readonly ControlInfo[], nowMs: number): void {
    const messages = fullStateMessages(state, { giver, controls }, nowMs);
    queue = [...queued(messages, nowMs), ...queue.flatMap(keptOf)];
  }

  function queueConfig(nowMs: number): void {
    const messages = configMessages(state, configVersion);
    if (messages.length > 0) {
      queue.push(...queued(messages, nowMs));
      configVersion = state.heldConfig?.version ?? configVersion;
    }
  }

  function queued(messages: readonly FeedMessage[], nowMs: number): QueuedMessage[] {
    const asOfMs = state.feedStatus.lastCurrentAtMs ?? nowMs;
    return messages.map((feed) => ({ feed, asOfMs, builtAtMs: nowMs }));
  }

  function next(nowMs: number): PeerFeedMessage {
    const message = queue.shift();
    sentAtMs = nowMs;
    const asOfMs = message?.asOfMs ?? state.feedStatus.lastCurrentAtMs ?? nowMs;
    return {
      type: 'peer-feed',
      ageMs: Math.round(nowMs - asOfMs),
      heldMs: Math.round(nowMs - (message?.builtAtMs ?? nowMs)),
      hops: 0,
      ...(message && { feed: message.feed }),
    };
  }
}

/** @returns the part of a waiting message that a full state does not replace */
function keptOf(message: QueuedMessage): readonly QueuedMessage[] {
  const { config, departures = [] } = message.feed;
  if (config !== undefined) {
    return [message];
  }
  const flags = { type: 'feed', isCurrent: false, isComplete: true, isCounted: false } as const;
  return departures.length === 0 ? [] : [{ ...message, feed: { ...flags, departures } }];
}
