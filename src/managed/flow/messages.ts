/**
 * @file Messages between callers, balancers and back ends, which are the bodies of packets. They are encoded as
 * MessagePack and validated on decoding.
 */
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  amberliftError,
  errorKinds,
  type AmberliftError,
} from '../../shared/common/error-kinds.js';

/** Maximum payload of a request, an answer part or a notice. */
export const MAX_PAYLOAD_BYTES = 1_200;

/**
 * Window of active request IDs in a flow. IDs increase; with each new ID the caller gives up requests that fall out of
 * the window. A back end may discard their records and never runs them again.
 */
export const REQUEST_ID_WINDOW = 32;

const MAX_UINT32 = 0xffff_ffff;
/** Maximum number of datagrams in one answer. */
const MAX_ANSWER_PARTS = 4_096;
const uint32 = z.number().int().min(0).max(MAX_UINT32);
const duration = z.number().min(0).max(86_400_000);
const payload = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array && value.length <= MAX_PAYLOAD_BYTES,
);

/** Caller to balancer to back end: opens a flow; executes no request. */
const openSchema = z.strictObject({
  type: z.literal('open'),
  /** Time left for the open, in milliseconds. */
  deadlineMs: duration,
});

/** Back end to balancer to caller: the flow is open; the packet's source ID is the token. */
const acceptSchema = z.strictObject({ type: z.literal('accept'), incarnation: uint32 });

/** An open or a request was refused; `surelyNotRun` is true only if it certainly was not executed. */
const refuseSchema = z.strictObject({
  type: z.literal('refuse'),
  /** The refused request; absent if an open was refused. */
  requestId: uint32.optional(),
  kind: z.enum(errorKinds),
  surelyNotRun: z.boolean(),
  /** Delay before a retry, in milliseconds. */
  retryAfterMs: duration.optional(),
  /** The back end's current incarnation, if the refused one was stale. */
  incarnation: uint32.optional(),
  /** The oldest retained notice, if a feed could not be resumed. */
  firstNotice: uint32.optional(),
});

/** Caller to back end, with a token: runs at most once per token and request ID. */
const requestSchema = z.strictObject({
  type: z.literal('request'),
  requestId: uint32,
  /** Time left for the request, in milliseconds. */
  deadlineMs: duration,
  /** True if the request subscribes to a feed, which continues until it is closed or cancelled. */
  feed: z.boolean(),
  /** For a feed: the last notice that the caller has; 0 to start at the oldest retained one. */
  afterNotice: uint32.optional(),
  payload,
});

/** Back end to caller: the feed is active; notices after this number follow. Sent for each copy of the request. */
const subscribedSchema = z.strictObject({
  type: z.literal('subscribed'),
  requestId: uint32,
  afterNotice: uint32,
});

/** Back end to caller: one part of an answer, or one notice of a feed. */
const answerSchema = z.strictObject({
  type: z.literal('answer'),
  requestId: uint32,
  /** Index of this part, from 0; for a feed the number of the notice, from 1. */
  part: uint32,
  /** Total number of parts; 0 for a feed, which has no end. */
  parts: z.number().int().min(0).max(MAX_ANSWER_PARTS),
  payload,
});

/** Caller to back end: all notices of a feed up to this number were received. */
const acknowledgeSchema = z.strictObject({
  type: z.literal('acknowledge'),
  requestId: uint32,
  part: uint32,
});

/** Caller to back end: cancels a request. */
const cancelSchema = z.strictObject({ type: z.literal('cancel'), requestId: uint32 });

/** Back end to caller: move to another flow; this one stays usable until then. */
const goAwaySchema = z.strictObject({ type: z.literal('go-away') });

/** Caller to back end or the reverse: closes the flow; `kind` is the error, absent on a normal close. */
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

/** Any message, discriminated by `type`. */
export type Message = z.infer<typeof messageSchema>;
/** Opens a flow. */
export type OpenMessage = z.infer<typeof openSchema>;
/** Refuses an open or a request. */
export type RefuseMessage = z.infer<typeof refuseSchema>;
/** Requests work on a flow, or subscribes to a feed. */
export type RequestMessage = z.infer<typeof requestSchema>;
/** Confirms a subscription to a feed. */
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
    // The decoder throws for invalid MessagePack; the caller counts the error.
    return err(amberliftError('malformed-datagram', 'Message body is not valid MessagePack.'));
  }
  const parsed = messageSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(
        amberliftError(
          'malformed-datagram',
          'Message body does not match the schema of any message.',
        ),
      );
}
