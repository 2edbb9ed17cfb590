/**
 * @file Schemas of the messages on the links of control machines and balancers. Every received message is
 * validated before it is processed; an invalid one closes the link.
 */
import * as z from 'zod/mini';
import {
  messageAddressSchema,
  consensusMessageSchema,
  nonNegativeSchema,
  indexSchema,
  listOf,
  senderSchema,
  textSchema,
} from '../../shared/consensus/message-schemas.js';
import type { PeerEnvelope } from '../control/peer-messages.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../dissemination/link-messages.js';

const position = z.object({ term: indexSchema, index: indexSchema });

const peerMessage = z.union([
  consensusMessageSchema,
  z.object({
    type: z.literal('announcement'),
    operatorAddress: messageAddressSchema,
    wantsAnswer: z.boolean(),
  }),
  z.object({
    type: z.literal('peer-refusal'),
    kind: z.literal('wrong-cluster'),
    reason: z.string(),
  }),
]);
const peerEnvelope = z.object({
  type: z.literal('peer'),
  proof: textSchema,
  clusterId: z.optional(textSchema),
  from: senderSchema,
  replyTo: messageAddressSchema,
  to: z.object({ nodeId: textSchema, storageId: z.optional(textSchema) }),
  message: peerMessage,
});

const subtree = z.object({
  members: z.optional(
    listOf(z.object({ balancerId: textSchema, zone: textSchema, isLinked: z.boolean() })),
  ),
  commonIndex: indexSchema,
  laggards: listOf(z.object({ balancerId: textSchema, index: indexSchema })),
});
const subscribe = z.object({
  type: z.literal('subscribe'),
  clusterKey: textSchema,
  balancerId: textSchema,
  zone: textSchema,
  position,
  sentAtMs: z.number(),
  subtree: z.optional(subtree),
});
const acknowledge = z.object({
  type: z.literal('acknowledge'),
  position,
  sentAtMs: z.number(),
  subtree: z.optional(subtree),
});
const balancerToControl = z.discriminatedUnion('type', [subscribe, acknowledge]);

const lease = z.object({
  askedAtMs: z.number(),
  remainingMs: z.number(),
  floorIndex: indexSchema,
});
const entity = z.looseObject({ id: indexSchema });
const change = z.discriminatedUnion('type', [
  z.object({ type: z.literal('service-set'), service: entity }),
  z.object({ type: z.literal('service-removed'), serviceId: indexSchema }),
  z.object({ type: z.literal('backend-set'), backend: entity }),
  z.object({ type: z.literal('backend-removed'), backendId: indexSchema }),
  z.object({ type: z.literal('key-set'), key: entity }),
  z.object({ type: z.literal('key-removed'), keyId: indexSchema }),
]);
const update = z.discriminatedUnion('type', [
  z.object({ type: z.literal('delta'), from: position, to: position, changes: z.array(change) }),
  z.object({
    type: z.literal('snapshot'),
    to: position,
    services: z.array(entity),
    backends: z.array(entity),
    keys: z.array(entity),
  }),
]);
const healthResult = z.looseObject({ backendId: indexSchema, ageMs: nonNegativeSchema });
const controlToBalancer = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('heartbeat'),
    committed: position,
    lease: z.optional(lease),
    leader: z.optional(messageAddressSchema),
    subtreeSize: z.optional(nonNegativeSchema),
  }),
  z.object({ type: z.literal('update'), update }),
  z.object({ type: z.literal('link-refused'), kind: z.literal('wrong-cluster') }),
  z.object({ type: z.literal('health-state'), results: listOf(healthResult) }),
]);

/**
 * Validates a message received on the link address of a control machine.
 * @returns the message, or undefined if it is invalid
 */
export function parseControlLinkMessage(
  value: unknown,
): PeerEnvelope | BalancerToControlMessage | undefined {
  const isValid =
    peerEnvelope.safeParse(value).success || balancerToControl.safeParse(value).success;
  return isValid ? (value as PeerEnvelope | BalancerToControlMessage) : undefined;
}

/**
 * Validates a message received on the link address of a balancer.
 * @returns the message, or undefined if it is invalid
 */
export function parseBalancerLinkMessage(value: unknown): BalancerToControlMessage | undefined {
  return balancerToControl.safeParse(value).success
    ? (value as BalancerToControlMessage)
    : undefined;
}

/**
 * Validates a message that a balancer received from its configuration source.
 * @returns the message, or undefined if it is invalid
 */
export function parseFeedMessage(value: unknown): ControlToBalancerMessage | undefined {
  return controlToBalancer.safeParse(value).success
    ? (value as ControlToBalancerMessage)
    : undefined;
}
