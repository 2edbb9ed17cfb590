/**
 * @file The bodies of amberlift packets: messages between callers, balancers and back ends, encoded
 * with msgpackr and checked on decoding.
 */
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  amberliftError,
  errorKinds,
  type AmberliftError,
} from '../../shared/common/error-kinds.js';

/** Largest request, part of an answer or push that a message may carry, in bytes. */
export const MAX_PAYLOAD_BYTES = 1_200;

/**
 * How far apart the request IDs of one flow may be: IDs grow, and a caller that sends an ID has done
 * with all that are lower by this much. A back end may forget those, and never runs them again.
 */
export const REQUEST_ID_WINDOW = 32;

const MAX_UINT32 = 0xffff_ffff;
/** Datagrams of one answer. Not measured; too low if a back end has to refuse an answer for its length. */
const MAX_PARTS = 4_096;
const uint32 = z.number().int().min(0).max(MAX_UINT32);
const duration = z.number().min(0).max(86_400_000);
const payload = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array && value.length <= MAX_PAYLOAD_BYTES,
);

/** Caller to balancer to back end: asks for a flow; runs nothing. */
const openSchema = z.strictObject({
  type: z.literal('open'),
  /** Time left for the open, in milliseconds. */
  deadlineMs: duration,
});

/** Back end to balancer to caller: the flow stands; the packet's source ID is the token. */
const acceptSchema = z.strictObject({ type: z.literal('accept'), incarnation: uint32 });

/** An open or a request was refused; `surelyNotRun` is true only where that is known. */
const refuseSchema = z.strictObject({
  type: z.literal('refuse'),
  /** The request refused; absent where an open was refused. */
  requestId: uint32.optional(),
  kind: z.enum(errorKinds),
  surelyNotRun: z.boolean(),
  /** When to come back, in milliseconds. */
  retryAfterMs: duration.optional(),
  /** The back end's present incarnation, where a stale one was the cause. */
  incarnation: uint32.optional(),
  /** The oldest notice that the back end still holds, where a feed could not go on. */
  firstNotice: uint32.optional(),
});

/** Caller to back end, under a token: runs at most once for each (token, request ID). */
const requestSchema = z.strictObject({
  type: z.literal('request'),
  requestId: uint32,
  /** Time left for the request, in milliseconds. */
  deadlineMs: duration,
  /** True where the request asks for a feed: the answer goes on until closed or cancelled. */
  feed: z.boolean(),
  /**
   * For a feed: the last notice that the caller has; 0 where it has none and takes the oldest that
   * the back end still holds.
   */
  afterNotice: uint32.optional(),
  payload,
});

/** Back end to caller: the feed stands; notices after this number follow. Sent for each copy. */
const subscribedSchema = z.strictObject({
  type: z.literal('subscribed'),
  requestId: uint32,
  afterNotice: uint32,
});

/** Back end to caller: one part of an answer, or one notice of a feed. */
const answerSchema = z.strictObject({
  type: z.literal('answer'),
  requestId: uint32,
  /** Number of this part, from 0; for a feed the number of the notice, from 1. */
  part: uint32,
  /** How many parts the whole answer has; 0 for a feed, which has no end. */
  parts: z.number().int().min(0).max(MAX_PARTS),
  payload,
});

/** Caller to back end: the notices of a feed up to this number have arrived. */
const acknowledgeSchema = z.strictObject({
  type: z.literal('acknowledge'),
  requestId: uint32,
  part: uint32,
});

/** Caller to back end: the request is no longer wanted. */
const cancelSchema = z.strictObject({ type: z.literal('cancel'), requestId: uint32 });

/** Back end to caller: open another flow and move there; this one goes on until then. */
const goAwaySchema = z.strictObject({ type: z.literal('go-away') });

/** Either way: the flow ends; `kind` says why where it was no ordinary end. */
const closeSchema = z.strictObject({
  type: z.literal('close'),
  kind: z.enum(errorKinds).optional(),
});

const messageSchema = z.discriminatedUnion('type', [
  openSchema,
  acceptSchema,
  refuseSchema,
  requestSchema,
  subscribedSchema,
  answerSchema,
  acknowledgeSchema,
  cancelSchema,
  goAwaySchema,
  closeSchema,
]);

/** Any message. */
export type Message = z.infer<typeof messageSchema>;
/** Asks for a flow. */
export type OpenMessage = z.infer<typeof openSchema>;
/** Refuses an open or a request. */
export type RefuseMessage = z.infer<typeof refuseSchema>;
/** Asks for work under a flow. */
export type RequestMessage = z.infer<typeof requestSchema>;
/** Confirms a feed. */
export type SubscribedMessage = z.infer<typeof subscribedSchema>;
/** A part of an answer, or a notice of a feed. */
export type AnswerMessage = z.infer<typeof answerSchema>;

const packr = new Packr({ useRecords: false });

/**
 * @returns the body of a packet
 */
export function encodeMessage(message: Message): Buffer {
  return packr.pack(message);
}

/**
 * @returns the message, or `malformed-datagram`; never throws
 */
export function decodeMessage(body: Uint8Array): Result<Message, AmberliftError> {
  let value: unknown;
  try {
    value = packr.unpack(body);
  } catch {
    // The decoder throws for any bytes from the network that are no MessagePack; the caller counts the error.
    return err(amberliftError('malformed-datagram', 'Body is no MessagePack.'));
  }
  const parsed = messageSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(amberliftError('malformed-datagram', 'Body is no known message.'));
}
