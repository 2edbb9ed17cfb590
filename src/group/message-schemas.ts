/**
 * @file Schemas of the messages between processes: whatever comes in on an internal port is checked by
 * one of them before any decision sees it.
 */
import * as z from 'zod/mini';
import type { ControlInboundMessage, FeedMessage } from './group-messages.js';

const MAX_TEXT = 200;
const MAX_LIST = 20_000;
const MAX_PORT = 65_535;
const DOCUMENT_BYTES = 4 * 1024 * 1024;

const text = z.string().check(z.maxLength(MAX_TEXT));
const count = z.number().check(z.nonnegative());
const index = z.int().check(z.nonnegative());
const bytes = z.instanceof(Uint8Array);
const address = z.object({ host: text, port: z.int().check(z.minimum(0), z.maximum(MAX_PORT)) });
const sender = z.object({ nodeId: text, storageId: text });

function list<T extends z.ZodMiniType>(item: T) {
  return z.array(item).check(z.maxLength(MAX_LIST));
}

const member = z.object({
  nodeId: text,
  storageId: text,
  role: z.enum(['voter', 'learner']),
  linkAddress: address,
  operatorAddress: address,
});
const membership = z.object({ members: list(member) });
const entry = z.object({
  index,
  term: index,
  content: z.discriminatedUnion('type', [
    z.object({ type: z.literal('no-op') }),
    z.object({ type: z.literal('command'), data: bytes }),
    z.object({ type: z.literal('membership'), membership }),
  ]),
});

const consensusMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('pre-vote-request'),
    term: index,
    lastIndex: index,
    lastTerm: index,
  }),
  z.object({ type: z.literal('pre-vote-response'), term: index, granted: z.boolean() }),
  z.object({
    type: z.literal('vote-request'),
    term: index,
    lastIndex: index,
    lastTerm: index,
    isTransfer: z.boolean(),
  }),
  z.object({ type: z.literal('vote-response'), term: index, granted: z.boolean() }),
  z.object({
    type: z.literal('append-request'),
    term: index,
    previousIndex: index,
    previousTerm: index,
    entries: list(entry),
    commitIndex: index,
    round: index,
  }),
  z.object({
    type: z.literal('append-response'),
    term: index,
    round: index,
    success: z.boolean(),
    matchIndex: z.optional(index),
    rejectedIndex: z.optional(index),
    hintIndex: z.optional(index),
  }),
  z.object({
    type: z.literal('snapshot-chunk'),
    term: index,
    snapshotIndex: index,
    snapshotTerm: index,
    membership,
    offset: index,
    totalBytes: index,
    data: bytes,
  }),
  z.object({
    type: z.literal('snapshot-chunk-response'),
    term: index,
    snapshotIndex: index,
    nextOffset: index,
  }),
  z.object({ type: z.literal('timeout-now'), term: index }),
]);

const record = z.object({
  id: text,
  instanceNumber: z.string().check(z.regex(/^[0-9a-f]{16}$/)),
  service: text,
  address,
  zone: text,
  capacity: count,
  warmUpLeftMs: count,
  sequence: count,
});
const agedRecord = z.object({ record, ageMs: z.number() });
const departure = z.object({ backendId: text, kind: z.enum(['draining', 'gone']) });
const balancer = z.object({ name: text, zone: text, peerAddress: address });
const configDocument = z.object({
  version: index,
  text: z.string().check(z.maxLength(DOCUMENT_BYTES)),
});
const command = z.discriminatedUnion('type', [
  z.object({ type: z.literal('declare-config'), document: configDocument }),
  z.object({ type: z.literal('note-departure'), departure }),
  z.object({ type: z.literal('register-backends'), records: list(record) }),
  z.object({ type: z.literal('forget-backends'), backendIds: list(text) }),
]);
const leaderRequest = z.discriminatedUnion('type', [
  z.object({ type: z.literal('command'), command }),
  z.object({ type: z.literal('read-config') }),
]);
const leaderAnswer = z.discriminatedUnion('type', [
  z.object({ type: z.literal('committed') }),
  z.object({ type: z.literal('config'), document: z.optional(z.nullable(configDocument)) }),
  z.object({ type: z.literal('refused'), reason: z.string() }),
]);

const controlInbound = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('consensus'),
    clusterId: z.string(),
    from: sender,
    replyTo: address,
    toNodeId: text,
    message: consensusMessage,
  }),
  z.object({ type: z.literal('announce'), from: sender, linkAddress: address }),
  z.object({ type: z.literal('leave'), from: sender }),
  z.object({ type: z.literal('heartbeats'), records: list(agedRecord) }),
  z.object({ type: z.literal('balancers'), sender: address, balancers: list(balancer) }),
  z.object({
    type: z.literal('forward'),
    forwardId: index,
    replyTo: address,
    request: leaderRequest,
  }),
  z.object({ type: z.literal('forward-reply'), forwardId: index, answer: leaderAnswer }),
  z.object({ type: z.literal('subscribe'), balancer, configVersion: index }),
]);

const target = z.object({ service: text, weight: count });
const route = z.object({
  name: text,
  host: text,
  port: index,
  targets: list(target),
  kind: z.enum(['repeatable', 'at-most-once']),
  timeoutMs: count,
});
const config = z.object({
  version: index,
  routes: list(route),
  services: list(z.object({ name: text })),
  idleTimeoutMs: count,
});
const feed = z.object({
  type: z.literal('feed'),
  isCurrent: z.boolean(),
  config: z.optional(config),
  records: z.optional(list(agedRecord)),
  departures: z.optional(list(departure)),
  balancers: z.optional(list(balancer)),
  controls: z.optional(list(z.object({ linkAddress: address }))),
});

const balancerMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('load-report'),
    name: text,
    loads: list(z.object({ token: index, busy: count, flows: count })),
  }),
  z.object({ type: z.literal('find-open'), key: text, replyTo: address }),
  z.object({ type: z.literal('open-found'), key: text, backendId: text }),
]);

/** From one balancer to another, in a datagram. */
export type BalancerMessage = z.infer<typeof balancerMessage>;

/**
 * @returns the message that came to a control machine, or undefined where it is none
 */
export function parseControlInbound(value: unknown): ControlInboundMessage | undefined {
  const parsed = controlInbound.safeParse(value);
  return parsed.success ? (value as ControlInboundMessage) : undefined;
}

/**
 * @returns the message of a control machine, or undefined where it is none
 */
export function parseFeed(value: unknown): FeedMessage | undefined {
  const parsed = feed.safeParse(value);
  return parsed.success ? (value as FeedMessage) : undefined;
}

/**
 * @returns the message of another balancer, or undefined where it is none
 */
export function parseBalancerMessage(value: unknown): BalancerMessage | undefined {
  const parsed = balancerMessage.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
