/**
 * @file Zod schemas that validate incoming consensus messages, and the building blocks shared with other messages
 * between processes.
 */
import * as z from 'zod/mini';

/** Characters; rejects garbage on internal ports. */
export const MAX_TEXT_LENGTH = 200;
/** More than the 12,000 back ends of the largest supported deployment. */
const MAX_LIST_LENGTH = 20_000;
const MAX_PORT = 65_535;

/** A name or another short text. */
export const textSchema = z.string().check(z.maxLength(MAX_TEXT_LENGTH));
/** A non-negative number. */
export const nonNegativeSchema = z.number().check(z.nonnegative());
/** A non-negative integer. */
export const indexSchema = z.int().check(z.nonnegative());
const bytesSchema = z.instanceof(Uint8Array);
/** Host and port in a message; port 0 is allowed. */
export const messageAddressSchema = z.object({
  host: textSchema,
  port: z.int().check(z.minimum(0), z.maximum(MAX_PORT)),
});
/** Node ID and storage ID of the sender of a message. */
export const senderSchema = z.object({ nodeId: textSchema, storageId: textSchema });

/**
 * @returns a schema for an array of at most `MAX_LIST_LENGTH` items
 */
export function listOf<T extends z.ZodMiniType>(item: T) {
  return z.array(item).check(z.maxLength(MAX_LIST_LENGTH));
}

const member = z.object({
  nodeId: textSchema,
  storageId: textSchema,
  role: z.enum(['voter', 'learner']),
  linkAddress: messageAddressSchema,
  operatorAddress: messageAddressSchema,
});
const membership = z.object({ members: listOf(member) });
const entry = z.object({
  index: indexSchema,
  term: indexSchema,
  content: z.discriminatedUnion('type', [
    z.object({ type: z.literal('no-op') }),
    z.object({ type: z.literal('command'), data: bytesSchema }),
    z.object({ type: z.literal('membership'), membership }),
  ]),
});

const appendResponse = z
  .object({
    type: z.literal('append-response'),
    term: indexSchema,
    round: indexSchema,
    success: z.boolean(),
    matchIndex: z.optional(indexSchema),
    rejectedIndex: z.optional(indexSchema),
    hintIndex: z.optional(indexSchema),
  })
  .check(
    z.refine(({ success, matchIndex, rejectedIndex, hintIndex }) =>
      success ? matchIndex !== undefined : rejectedIndex !== undefined && hintIndex !== undefined,
    ),
  );

/** Any message of the consensus protocol. */
export const consensusMessageSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('pre-vote-request'),
    term: indexSchema,
    lastIndex: indexSchema,
    lastTerm: indexSchema,
  }),
  z.object({ type: z.literal('pre-vote-response'), term: indexSchema, granted: z.boolean() }),
  z.object({
    type: z.literal('vote-request'),
    term: indexSchema,
    lastIndex: indexSchema,
    lastTerm: indexSchema,
    isTransfer: z.boolean(),
  }),
  z.object({ type: z.literal('vote-response'), term: indexSchema, granted: z.boolean() }),
  z.object({
    type: z.literal('append-request'),
    term: indexSchema,
    previousIndex: indexSchema,
    previousTerm: indexSchema,
    entries: listOf(entry),
    commitIndex: indexSchema,
    round: indexSchema,
  }),
  appendResponse,
  z.object({
    type: z.literal('snapshot-chunk'),
    term: indexSchema,
    snapshotIndex: indexSchema,
    snapshotTerm: indexSchema,
    membership,
    offset: indexSchema,
    totalBytes: indexSchema,
    data: bytesSchema,
  }),
  z.object({
    type: z.literal('snapshot-chunk-response'),
    term: indexSchema,
    snapshotIndex: indexSchema,
    nextOffset: indexSchema,
  }),
  z.object({ type: z.literal('timeout-now'), term: indexSchema }),
]);
