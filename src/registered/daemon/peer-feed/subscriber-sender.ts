/**
 * @file Sends what waits for the subscribers of peer feeds, in turn and within a budget of bytes, so that peer feeds leave most
 * of the machine's link to the packets of clients.
 */
import { createByteBudget } from '../../egress/byte-budget.js';
import { encodePeerFeed, type PeerLink } from '../../ingress/peer-feed/peer-feed-messages.js';
import type { PeerSubscriber } from './peer-subscriber.js';

/** Options and dependencies of a sender. */
export interface SubscriberSenderOptions {
  /** Rate of the machine's network link in bytes per millisecond; undefined if it is not paced. */
  readonly linkBytesPerMs: number | undefined;
  readonly nowMs: () => number;
  after(delayMs: number, run: () => void): void;
  /** Charges sent bytes to the rate limit of the machine's link. */
  charge(bytes: number): void;
  readonly subscribers: () => readonly PeerSubscriber[];
  /** Called if a message could not be sent to a subscriber. */
  onUnsent(subscriber: PeerSubscriber): void;
}

/** Sends to all subscribers. */
export interface SubscriberSender {
  /** Sends all that waits, now or as the budget allows. */
  sendWaiting(): void;
  /** Sends the next message of a subscriber, or a keep-alive. */
  sendNext(subscriber: PeerSubscriber): void;
  /** @returns the size of the message in bytes; 0 if it was not sent */
  send(link: PeerLink, message: object): number;
}

/** A quarter, since packets of clients share the link. */
const LINK_SHARE = 0.25;
/** Limit where the link is wide or not paced: a full state of a thousand back ends within a second. */
const MAX_BYTES_PER_MS = 64;

/** @returns a sender with a full budget */
export function createSubscriberSender(options: SubscriberSenderOptions): SubscriberSender {
  const { linkBytesPerMs = Number.POSITIVE_INFINITY } = options;
  const budget = createByteBudget(Math.min(MAX_BYTES_PER_MS, LINK_SHARE * linkBytesPerMs));
  let isWaitingForCredit = false;

  return { sendWaiting, sendNext, send };

  function sendWaiting(): void {
    for (let waiting = waitingSubscribers(); waiting.length > 0; waiting = waitingSubscribers()) {
      for (const subscriber of waiting) {
        if (!budget.hasCredit(options.nowMs())) {
          continueLater();
          return;
        }
        sendNext(subscriber);
      }
    }
  }

  function waitingSubscribers(): readonly PeerSubscriber[] {
    return options.subscribers().filter(({ isWaiting }) => isWaiting);
  }

  function continueLater(): void {
    if (!isWaitingForCredit) {
      isWaitingForCredit = true;
      options.after(budget.waitMs(1, options.nowMs()), () => {
        isWaitingForCredit = false;
        sendWaiting();
      });
    }
  }

  function sendNext(subscriber: PeerSubscriber): void {
    const sentBytes = send(subscriber.link, encodePeerFeed(subscriber.next(options.nowMs())));
    if (sentBytes === 0) {
      options.onUnsent(subscriber);
    }
  }

  function send(link: PeerLink, message: object): number {
    const bytes = link.send(message);
    budget.spend(bytes, options.nowMs());
    options.charge(bytes);
    return bytes;
  }
}
