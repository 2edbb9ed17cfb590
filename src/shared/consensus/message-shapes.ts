/**
 * @file Shapes of the messages of the consensus protocol, and the parts that other messages between
 * processes share: what comes in from the network is checked by them before any decision sees it.
 */
import * as z from 'zod/mini';

/** Characters of a short text; refuses noise on internal ports. Not measured. */
const MAX_TEXT = 200;
/** Entries of a list; above the 12,000 back ends that a deployment may have. Not measured. */
const MAX_LIST = 20_000;
const MAX_PORT = 65_535;

/** A name or other short text. */
export const textShape = z.string().check(z.maxLength(MAX_TEXT));
/** A number that is not negative. */
export const countShape = z.number().check(z.nonnegative());
/** A whole number that is not negative. */
export const indexShape = z.int().check(z.nonnegative());
const bytesShape = z.instanceof(Uint8Array);
/** An address. */
export const addressShape = z.object({
  host: textShape,
  port: z.int().check(z.minimum(0), z.maximum(MAX_PORT)),
});
/** Who sent a message. */
export const senderShape = z.object({ nodeId: textShape, storageId: textShape });

/**
 * @returns the shape of a list of bounded length
 */
export function listOf<T extends z.ZodMiniType>(item: T) {
  return z.array(item).check(z.maxLength(MAX_LIST));
}

const member = z.object({
  nodeId: textShape,
  storageId: textShape,
  role: z.enum(['voter', 'learner']),
  linkAddress: addressShape,
  operatorAddress: addressShape,
});
const membership = z.object({ members: listOf(member) });
const entry = z.object({
  index: indexShape,
  term: indexShape,
  content: z.discriminatedUnion('type', [
    z.object({ type: z.literal('no-op') }),
    z.object({ type: z.literal('command'), data: bytesShape }),
    z.object({ type: z.literal('membership'), membership }),
  ]),
});

const appendResponse = z
  .object({
    type: z.literal('append-response'),
    term: indexShape,
    round: indexShape,
    success: z.boolean(),
    matchIndex: z.optional(indexShape),
    rejectedIndex: z.optional(indexShape),
    hintIndex: z.optional(indexShape),
  })
  .check(
    z.refine(({ success, matchIndex, rejectedIndex, hintIndex }) =>
      success ? matchIndex !== undefined : rejectedIndex !== undefined && hintIndex !== undefined,
    ),
  );

/** Any message of the consensus protocol. */
export const consensusMessageShape = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('pre-vote-request'),
    term: indexShape,
    lastIndex: indexShape,
    lastTerm: indexShape,
  }),
  z.object({ type: z.literal('pre-vote-response'), term: indexShape, granted: z.boolean() }),
  z.object({
    type: z.literal('vote-request'),
    term: indexShape,
    lastIndex: indexShape,
    lastTerm: indexShape,
    isTransfer: z.boolean(),
  }),
  z.object({ type: z.literal('vote-response'), term: indexShape, granted: z.boolean() }),
  z.object({
    type: z.literal('append-request'),
    term: indexShape,
    previousIndex: indexShape,
    previousTerm: indexShape,
    entries: listOf(entry),
    commitIndex: indexShape,
    round: indexShape,
  }),
  appendResponse,
  z.object({
    type: z.literal('snapshot-chunk'),
    term: indexShape,
    snapshotIndex: indexShape,
    snapshotTerm: indexShape,
    membership,
    offset: indexShape,
    totalBytes: indexShape,
    data: bytesShape,
  }),
  z.object({
    type: z.literal('snapshot-chunk-response'),
    term: indexShape,
    snapshotIndex: indexShape,
    nextOffset: indexShape,
  }),
  z.object({ type: z.literal('timeout-now'), term: indexShape }),
]);
