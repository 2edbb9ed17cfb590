/**
 * @file Gives the feed of this balancer to others that no current control machine feeds: everything it knows, then what it
 * receives from its own control machine. Bounded in subscribers, in bytes a second, and in messages that wait.
 */
import type { BalancerInfo, ControlInfo, FeedMessage } from '../../group/group-messages.js';
import type { PeerFeedRefusal } from '../../decisions/peer-feed-admission.js';
import type { IngressState } from '../../ingress/ingress-state.js';
import { relayedMessage } from '../../ingress/peer-feed/full-state.js';
import {
  encodePeerRefusal,
  parsePeerSubscribe,
  type PeerLink,
  type PeerLinkHandlers,
  type PeerSubscribeMessage,
} from '../../ingress/peer-feed/peer-feed-messages.js';
import type { DecisionFields } from '../decision-log.js';
import { createControlView } from './control-view.js';
import { createIdleLinks, type IdleLinks } from './idle-links.js';
import { createPeerSubscriber, type PeerSubscriber } from './peer-subscriber.js';
import {
  createSubscriberSender,
  type SubscriberSender,
  type SubscriberSenderOptions,
} from './subscriber-sender.js';

/** Options and dependencies of a server of peer feeds. */
export interface PeerFeedServerOptions extends Omit<
  SubscriberSenderOptions,
  'subscribers' | 'onUnsent'
> {
  readonly state: IngressState;
  /** This balancer. */
  readonly giver: BalancerInfo;
  /** Records a turn of the process. @returns true after a pause in which messages may have waited */
  readonly isPaused: (nowMs: number) => boolean;
  readonly logDecision: (name: string, fields: DecisionFields) => void;
}

/** The feeds that one balancer gives. */
export interface PeerFeedServer {
  /** Number of balancers that are fed. */
  readonly subscribers: number;
  /** Callbacks of accepted links. */
  readonly handlers: PeerLinkHandlers;
  /** Passes on a message of the control machine that has been applied here. */
  relay(message: FeedMessage): void;
  /** Sends keep-alives; ends the feeds once this balancer is not current. */
  tick(nowMs: number): void;
}

/** Keep-alives per timeout of a silent feed. */
const KEEP_ALIVES_PER_TIMEOUT = 3;

/** @returns a server without subscribers */
export function createPeerFeedServer(options: PeerFeedServerOptions): PeerFeedServer {
  const { state, isPaused } = options;
  const { silentAfterMs, firstMessageAfterMs } = state.options.feed;
  const subscribers = new Map<PeerLink, PeerSubscriber>();
  const idleLinks = createIdleLinks(firstMessageAfterMs);
  const control = createControlView(state, isPaused);
  const sender = createSubscriberSender({
    ...options,
    subscribers: () => [...subscribers.values()],
    onUnsent: (subscriber) => end(subscriber, 'behind'),
  });
  const refuse = createRefuser(sender, idleLinks, options.nowMs);

  return {
    get subscribers() {
      return subscribers.size;
    },
    handlers: {
      onOpen: (link) => idleLinks.add(link, options.nowMs()),
      onMessage,
      onClose: (link) => {
        subscribers.delete(link);
        idleLinks.remove(link);
      },
    },
    relay,
    tick,
  };

  function onMessage(value: unknown, link: PeerLink): boolean {
    const message = parsePeerSubscribe(value);
    if (message === undefined) {
      return false;
    }
    const nowMs = options.nowMs();
    const known = subscribers.get(link);
    const refusal = known ? undefined : control.subscriberRefusal(subscribers.size, nowMs);
    if (refusal !== undefined) {
      refuse(link, refusal);
      return true;
    }
    const subscriber = known ?? accept(message, link);
    const isAccepted = subscriber.beginAnew(message.configVersion, control.machines, nowMs);
    sender.sendWaiting();
    return isAccepted;
  }

  function accept({ name, configVersion }: PeerSubscribeMessage, link: PeerLink): PeerSubscriber {
    const subscriber = createPeerSubscriber({ ...options, name, link, configVersion });
    idleLinks.remove(link);
    subscribers.set(link, subscriber);
    options.logDecision('peer subscribed', { peer: name, configVersion });
    return subscriber;
  }

  function relay(message: FeedMessage): void {
    const nowMs = options.nowMs();
    const { isCurrent, isResumed } = control.record(message, nowMs);
    if (subscribers.size === 0 || !isCurrent) {
      return;
    }
    const queue = queueOf(message, isResumed, control.machines);
    subscribers.forEach((subscriber) => queue(subscriber, nowMs));
    sender.sendWaiting();
    [...subscribers.values()].filter(isBehind).forEach((one) => end(one, 'behind'));
  }

  function tick(nowMs: number): void {
    const refusal = control.feedRefusal(nowMs);
    for (const subscriber of subscribers.values()) {
      if (refusal !== undefined) {
        end(subscriber, refusal);
      } else if (subscriber.isIdleSince(nowMs - silentAfterMs / KEEP_ALIVES_PER_TIMEOUT)) {
        sender.sendNext(subscriber);
      }
    }
    sender.sendWaiting();
    idleLinks.closeOverdue(nowMs);
  }

  function end({ name, link }: PeerSubscriber, why: PeerFeedRefusal): void {
    subscribers.delete(link);
    options.logDecision('peer unsubscribed', { peer: name, why });
    refuse(link, why);
  }
}

/**
 * @returns a function that refuses a feed. The other balancer closes the link once it has read the refusal; if it does not,
 *   this one does.
 */
function createRefuser(sender: SubscriberSender, idleLinks: IdleLinks, nowMs: () => number) {
  return (link: PeerLink, why: PeerFeedRefusal): void => {
    if (sender.send(link, encodePeerRefusal(why)) === 0) {
      link.close();
    } else {
      idleLinks.add(link, nowMs());
    }
  };
}

function isBehind(subscriber: PeerSubscriber): boolean {
  return subscriber.isBehind;
}

/** @returns a function that queues what a subscriber gets of a message of the control machine */
function queueOf(message: FeedMessage, isResumed: boolean, controls: readonly ControlInfo[]) {
  const { transfer } = message;
  const restatesAll = isResumed || transfer === 'ends' || transfer === 'whole';
  const relayed = transfer === undefined ? relayedMessage(message) : undefined;
  return (subscriber: PeerSubscriber, nowMs: number): void => {
    if (restatesAll) {
      subscriber.queueFullState(controls, nowMs);
    } else if (relayed !== undefined) {
      subscriber.queueMessages([relayed], nowMs);
    }
    subscriber.queueConfig(nowMs);
  };
}
