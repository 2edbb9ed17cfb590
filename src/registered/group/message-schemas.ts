/**
 * @file Schemas of the messages between processes. Everything received on an internal port is validated before use.
 */
import * as z from 'zod/mini';
import {
  messageAddressSchema as address,
  consensusMessageSchema as consensusMessage,
  nonNegativeSchema as count,
  indexSchema as index,
  listOf as list,
  senderSchema as sender,
  textSchema as text,
} from '../../shared/consensus/message-schemas.js';
import { ANSWER_STATS_ROWS } from '../load-exchange/answer-stats.js';
import { LOAD_ROWS } from '../load-exchange/packed-rows.js';
import { SUSPICION_ROWS } from '../load-exchange/suspicion-rows.js';
import {
  agedRecordSchema as agedRecord,
  balancerSchema as balancer,
  departureSchema as departure,
  documentTextSchema,
  recordSchema as record,
  zoneStatusSchema,
  zoneUpdateSchema,
} from './entry-schemas.js';
import { validEntries, type ReportOmitted } from './wire/omitted-entries.js';
import { packedRowsSchema } from './wire/packed-rows-schema.js';
import type { ControlInboundMessage } from './group-messages.js';

const loads = z.optional(packedRowsSchema(LOAD_ROWS));
const signals = z.optional(packedRowsSchema(ANSWER_STATS_ROWS));
const suspects = z.optional(packedRowsSchema(SUSPICION_ROWS));
interface LoadTables {
  readonly loads?: unknown;
  readonly signals?: unknown;
}
const hasTable = z.refine<LoadTables>(
  ({ loads: loadTable, signals: statsTable }) =>
    loadTable !== undefined || statsTable !== undefined,
  'The message has neither loads nor signals.',
);
const configDocument = z.object({ version: index, text: documentTextSchema });
const zoneOrder = z.object({
  zone: text,
  kind: z.enum(['evacuate', 'readmit']),
  afterOrders: index,
});
const zoneReport = z.extend(zoneStatusSchema, { backendCount: index, slots: count, busy: count });
const command = z.discriminatedUnion('type', [
  z.object({ type: z.literal('declare-config'), document: configDocument }),
  z.object({ type: z.literal('note-departure'), departure }),
  z.object({ type: z.literal('order-zone'), order: zoneOrder }),
  z.object({ type: z.literal('register-backends'), records: list(record) }),
  z.object({ type: z.literal('forget-backends'), backendIds: list(text) }),
]);
const leaderRequest = z.discriminatedUnion('type', [
  z.object({ type: z.literal('command'), command }),
  z.object({ type: z.literal('read-config') }),
  z.object({ type: z.literal('read-zones') }),
]);
const leaderReply = z.discriminatedUnion('type', [
  z.object({ type: z.literal('committed') }),
  z.object({ type: z.literal('config'), document: z.optional(z.nullable(configDocument)) }),
  z.object({ type: z.literal('zones'), zones: list(zoneReport) }),
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
  z.object({
    type: z.literal('heartbeats'),
    records: list(agedRecord),
    sender: z.optional(address),
    sequence: z.optional(z.int()),
  }),
  z.object({
    type: z.literal('balancers'),
    sender: address,
    zone: text,
    balancers: list(balancer),
  }),
  z.object({
    type: z.literal('forward'),
    forwardId: index,
    replyTo: address,
    request: leaderRequest,
  }),
  z.object({ type: z.literal('forward-reply'), forwardId: index, answer: leaderReply }),
  z
    .object({ type: z.literal('load-sums'), sender: address, loads, signals, suspects })
    .check(hasTable),
  z.object({
    type: z.literal('subscribe'),
    balancer,
    configVersion: index,
    unfinished: z.optional(z.object({ version: index, baseVersion: index, changesTaken: index })),
  }),
  z.object({ type: z.literal('feed-taken'), count: index }),
  z.object({ type: z.literal('load-report'), loads, signals, suspects }).check(hasTable),
]);

const balancerMessage = z.discriminatedUnion('type', [
  z.object({ type: z.literal('open-placed'), key: text, token: index }),
  z.object({ type: z.literal('find-open'), key: text, replyTo: address }),
  z.object({ type: z.literal('open-found'), key: text, token: index }),
  z.object({ type: z.literal('open-claimed'), key: text }),
  z.object({ type: z.literal('find-zones'), replyTo: address }),
  z.object({
    type: z.literal('zones-known'),
    zones: list(zoneUpdateSchema),
  }),
]);

/** Message between balancers, sent in a datagram. */
export type BalancerMessage = z.infer<typeof balancerMessage>;

/** Message between balancers about a flow open. */
export type OpenMessage = Exclude<BalancerMessage, { type: 'find-zones' | 'zones-known' }>;

const heartbeatList = z.object({ type: z.literal('heartbeats'), records: list(z.unknown()) });
const balancerList = z.object({ type: z.literal('balancers'), balancers: list(z.unknown()) });

/**
 * @param report called with each back end or balancer that is left out, because it has invalid values
 * @returns the message that a control machine received, or undefined if it is invalid
 */
export function parseControlInbound(
  value: unknown,
  report: ReportOmitted = () => undefined,
): ControlInboundMessage | undefined {
  if (controlInbound.safeParse(value).success) {
    return value as ControlInboundMessage;
  }
  const reduced = withoutInvalidListed(value, report);
  return controlInbound.safeParse(reduced).success ? (reduced as ControlInboundMessage) : undefined;
}

/** @returns a list of heartbeats or balancers without its invalid entries; undefined for any other message */
function withoutInvalidListed(value: unknown, report: ReportOmitted): object | undefined {
  const heartbeats = heartbeatList.safeParse(value);
  if (heartbeats.success) {
    const records = validEntries(heartbeats.data.records, agedRecord, 'backend', nameOf, report);
    return { ...(value as object), records };
  }
  const balancers = balancerList.safeParse(value);
  if (balancers.success) {
    const listed = validEntries(balancers.data.balancers, balancer, 'balancer', nameOf, report);
    return { ...(value as object), balancers: listed };
  }
  return undefined;
}

const named = z.object({
  name: z.optional(z.string()),
  record: z.optional(z.object({ id: z.optional(z.string()) })),
});

function nameOf(entry: unknown): string {
  const { data } = named.safeParse(entry);
  return data?.name ?? data?.record?.id ?? 'unnamed';
}

/**
 * @returns the message of another balancer, or undefined if it is invalid
 */
export function parseBalancerMessage(value: unknown): BalancerMessage | undefined {
  const parsed = balancerMessage.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
