/**
 * @file Messages between balancers about peer feeds, sent as frames over TCP, and their schemas. A peer feed carries packed feed
 * messages in an envelope with the age of what the sender knows.
 */
import * as z from 'zod/mini';
import {
  indexSchema as index,
  textSchema as text,
} from '../../../shared/consensus/message-schemas.js';
import type { FeedMessage } from '../../group/group-messages.js';
import { packFeed, unpackFeed } from '../../group/wire/feed-codec.js';
import type { ReportOmitted } from '../../group/wire/omitted-entries.js';
import type { PeerFeedRefusal } from '../../decisions/peer-feed-admission.js';

/** Hops from a control machine at which a peer feed is still followed; 0 is the feed of a balancer that control feeds. */
export const MAX_PEER_FEED_HOPS = 0;

/** First message on a link: asks for the feed of the other balancer; later ones ask it to state everything again. */
export interface PeerSubscribeMessage {
  readonly type: 'peer-subscribe';
  /** Name of the balancer that asks. */
  readonly name: string;
  /** Version of the configuration that it holds; 0 for none. */
  readonly configVersion: number;
}

/** What a balancer has learned from its control machine; without `feed`, a keep-alive. */
export interface PeerFeedMessage {
  readonly type: 'peer-feed';
  /** Milliseconds since a control machine said to the sender that its feed is current. */
  readonly ageMs: number;
  /** Milliseconds for which the content has waited at the sender; all ages in it are that much older. */
  readonly heldMs: number;
  /** Balancers between the sender and the control machine. */
  readonly hops: number;
  readonly feed?: FeedMessage;
}

/** The feed is not given, or ends. */
interface PeerRefusedMessage {
  readonly type: 'peer-refused';
  /** A `PeerFeedRefusal`, or one of a later version. */
  readonly reason: string;
}

/** Message of a balancer that gives its feed. */
export type PeerGiverMessage = PeerFeedMessage | PeerRefusedMessage;

/** Local end of a link between balancers. */
export interface PeerLink {
  /** @returns the size of the message in bytes; 0 if it was not sent */
  send(message: object): number;
  close(): void;
}

/** Callbacks of a link between balancers. */
export interface PeerLinkHandlers {
  /** Called when the link of another balancer has been accepted. */
  onOpen?(link: PeerLink): void;
  /** @returns false for an unexpected message; the link is then closed */
  onMessage(message: unknown, link: PeerLink): boolean;
  /** Called when part of a message has arrived. */
  onProgress?(link: PeerLink): void;
  onClose(link: PeerLink, reason: string): void;
}

const subscribe = z.object({ type: z.literal('peer-subscribe'), name: text, configVersion: index });
const giverMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('peer-feed'),
    ageMs: index,
    heldMs: index,
    hops: index,
    feed: z.optional(z.unknown()),
  }),
  z.object({ type: z.literal('peer-refused'), reason: text }),
]);

/** @returns the subscription, or undefined if the value is not a valid one */
export function parsePeerSubscribe(value: unknown): PeerSubscribeMessage | undefined {
  const parsed = subscribe.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/**
 * @param report called with each entry of the feed that is left out, because it has invalid values
 * @returns the message of a giver, or undefined if the value is not a valid one
 */
export function parsePeerGiverMessage(
  value: unknown,
  report?: ReportOmitted,
): PeerGiverMessage | undefined {
  const parsed = giverMessage.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const { data } = parsed;
  if (data.type === 'peer-refused' || data.feed === undefined) {
    return data.type === 'peer-refused' ? data : withoutFeed(data);
  }
  const feed = unpackFeed(data.feed, report);
  return feed && { ...withoutFeed(data), feed };
}

function withoutFeed({ ageMs, heldMs, hops }: Omit<PeerFeedMessage, 'feed'>): PeerFeedMessage {
  return { type: 'peer-feed', ageMs, heldMs, hops };
}

/** @returns the wire form of a peer feed message */
export function encodePeerFeed({ feed, ...envelope }: PeerFeedMessage): object {
  return { ...envelope, ...(feed && { feed: packFeed(feed) }) };
}

/** @returns the wire form of a refusal */
export function encodePeerRefusal(reason: PeerFeedRefusal): PeerRefusedMessage {
  return { type: 'peer-refused', reason };
}
