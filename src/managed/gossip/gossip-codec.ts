/**
 * @file Encodes and decodes datagrams between balancers: an 8-byte SipHash-2-4 MAC keyed from the cluster key, then
 * MessagePack. Records are arrays, since field names would make up most of a datagram.
 */
import { createHash } from 'node:crypto';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  KEYED_HASH_BYTES,
  KEYED_HASH_KEY_BYTES,
  keyedHash,
} from '../../shared/common/keyed-hash.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { SharedResult } from '../health/health-sharing.js';
import type { GossipMessage, HealthMessage, PeerDatagram, ZoneSummary } from './gossip-messages.js';
import type { MemberAddresses, MemberRecord, MemberStatus } from './member.js';

const MAX_PORT = 65_535;
const STATUSES: readonly MemberStatus[] = ['alive', 'suspect', 'dead', 'left'];
const TYPES: readonly GossipMessage['type'][] = ['ping', 'ping-request', 'ack', 'sync', 'zones'];

const HEALTH_STATES = ['starting', 'ready', 'draining'] as const;

const packr = new Packr({ useRecords: false });

const unsignedInteger = z.number().int().min(0);
const portSchema = unsignedInteger.max(MAX_PORT);
const addressSchema = z.tuple([z.string(), portSchema, portSchema]);
const recordSchema = z.tuple([
  z.string().min(1),
  unsignedInteger,
  unsignedInteger.max(STATUSES.length - 1),
  z.string(),
  portSchema,
  portSchema,
]);
const zoneSchema = z.tuple([z.string(), unsignedInteger, unsignedInteger, z.array(addressSchema)]);
const messageSchema = z.tuple([
  unsignedInteger.max(TYPES.length - 1),
  z.string(),
  recordSchema,
  z.array(recordSchema),
  z.array(zoneSchema),
  /** Sequence number; 0 if the type has none. */
  unsignedInteger,
  /** Type-specific: digest, target or whether an answer is wanted. */
  z.union([unsignedInteger, addressSchema, z.boolean()]),
]);

const MAX_UINT32 = 0xffff_ffff;
const resultSchema = z.tuple([
  /** Back end ID, age in milliseconds, state; the state is 0 if the back end did not answer. */
  unsignedInteger,
  unsignedInteger,
  unsignedInteger.max(3),
  /** Incarnation, and the ID that the back end reported; null if it reported none. */
  unsignedInteger.max(MAX_UINT32),
  unsignedInteger.nullable(),
  /** The fields of `LoadReport`; null if unknown. */
  z
    .tuple([unsignedInteger, unsignedInteger, unsignedInteger, unsignedInteger, unsignedInteger])
    .nullable(),
]);
const HEALTH_FIELD_COUNT = 2;
const healthSchema = z.tuple([z.string(), z.array(resultSchema)]);
const datagramSchema = z.union([healthSchema, messageSchema]);

type ResultFields = z.infer<typeof resultSchema>;
type HealthFields = z.infer<typeof healthSchema>;
type AddressFields = z.infer<typeof addressSchema>;
type RecordFields = z.infer<typeof recordSchema>;
type ZoneFields = z.infer<typeof zoneSchema>;
type MessageFields = z.infer<typeof messageSchema>;

/** The MAC key of a cluster's datagrams. */
export type GossipKey = Uint8Array;

/**
 * @returns the MAC key derived from the cluster key
 */
export function gossipKey(clusterKey: string): GossipKey {
  const digest = createHash('sha256').update(`gossip:${clusterKey}`).digest();
  return digest.subarray(0, KEYED_HASH_KEY_BYTES);
}

/**
 * @returns the datagram: MAC and encoded message
 */
export function encodeGossip(message: PeerDatagram, key: GossipKey): Buffer {
  const body = packr.pack(message.type === 'health' ? healthToFields(message) : toFields(message));
  return Buffer.concat([keyedHash(key, body), body]);
}

/**
 * @returns the message, or the error `wrong-cluster` if the MAC does not match and `malformed-datagram` if the body is
 *   invalid
 */
export function decodeGossip(
  datagram: Uint8Array,
  key: GossipKey,
): Result<PeerDatagram, AmberliftError> {
  const body = datagram.subarray(KEYED_HASH_BYTES);
  const mac = datagram.subarray(0, KEYED_HASH_BYTES);
  if (!Buffer.from(keyedHash(key, body)).equals(mac)) {
    return err(
      amberliftError('wrong-cluster', 'The MAC of the datagram does not match the cluster key.'),
    );
  }
  const parsed = datagramSchema.safeParse(unpack(body));
  if (!parsed.success) {
    return err(amberliftError('malformed-datagram', 'The datagram is not a valid peer message.'));
  }
  return parsed.data.length === HEALTH_FIELD_COUNT
    ? ok(healthFromFields(parsed.data))
    : fromFields(parsed.data);
}

function unpack(body: Uint8Array): unknown {
  try {
    return packr.unpack(body);
  } catch {
    // The bytes are not valid MessagePack; the schema rejects undefined as malformed.
    return undefined;
  }
}

function toFields(message: GossipMessage): MessageFields {
  const { type, zone, sender, updates, zones } = message;
  return [
    TYPES.indexOf(type),
    zone,
    recordToFields(sender),
    updates.map(recordToFields),
    zones.map(zoneToFields),
    'sequence' in message ? message.sequence : 0,
    typeSpecificField(message),
  ];
}

function typeSpecificField(message: GossipMessage): MessageFields[6] {
  switch (message.type) {
    case 'ping':
    case 'ack':
      return message.digest;
    case 'ping-request':
      return addressToFields(message.target);
    case 'sync':
    case 'zones':
      return message.wantsAnswer;
  }
}

function fromFields(fields: MessageFields): Result<GossipMessage, AmberliftError> {
  const [typeIndex, zone, sender, updates, zones, sequence, last] = fields;
  const type = TYPES[typeIndex];
  const header = {
    zone,
    sender: recordFromFields(sender),
    updates: updates.map(recordFromFields),
    zones: zones.map(zoneFromFields),
  };
  if ((type === 'ping' || type === 'ack') && typeof last === 'number') {
    return ok({ type, ...header, sequence, digest: last });
  }
  if (type === 'ping-request' && Array.isArray(last)) {
    return ok({ type, ...header, sequence, target: addressFromFields(last) });
  }
  if ((type === 'sync' || type === 'zones') && typeof last === 'boolean') {
    return ok({ type, ...header, wantsAnswer: last });
  }
  return err(
    amberliftError('malformed-datagram', 'The datagram has an invalid field for its message type.'),
  );
}

function recordToFields(record: MemberRecord): RecordFields {
  const { id, incarnation, status, host, gossipPort, linkPort } = record;
  return [id, incarnation, STATUSES.indexOf(status), host, gossipPort, linkPort];
}

function recordFromFields(fields: RecordFields): MemberRecord {
  const [id, incarnation, status, host, gossipPort, linkPort] = fields;
  return { id, incarnation, status: STATUSES[status] ?? 'alive', host, gossipPort, linkPort };
}

function addressToFields({ host, gossipPort, linkPort }: MemberAddresses): AddressFields {
  return [host, gossipPort, linkPort];
}

function addressFromFields([host, gossipPort, linkPort]: AddressFields): MemberAddresses {
  return { host, gossipPort, linkPort };
}

function zoneToFields({ zone, version, liveCount, contacts }: ZoneSummary): ZoneFields {
  return [zone, version, liveCount, contacts.map(addressToFields)];
}

function zoneFromFields([zone, version, liveCount, contacts]: ZoneFields): ZoneSummary {
  return { zone, version, liveCount, contacts: contacts.map(addressFromFields) };
}

function healthToFields({ zone, results }: HealthMessage): HealthFields {
  return [zone, results.map(resultToFields)];
}

function healthFromFields([zone, results]: HealthFields): HealthMessage {
  return { type: 'health', zone, results: results.map(resultFromFields) };
}

function resultToFields({ backendId, ageMs, health, load }: SharedResult): ResultFields {
  return [
    backendId,
    ageMs,
    health === undefined ? 0 : HEALTH_STATES.indexOf(health.state) + 1,
    health?.incarnation ?? 0,
    health?.backendId ?? null,
    load === undefined
      ? null
      : [load.connections, load.connectionLimit, load.busySlots, load.slots, load.queuedRequests],
  ];
}

function resultFromFields(fields: ResultFields): SharedResult {
  const [backendId, ageMs, stateNumber, incarnation, reportedId, load] = fields;
  const state = HEALTH_STATES[stateNumber - 1];
  const identity = reportedId === null ? {} : { backendId: reportedId };
  return {
    backendId,
    ageMs,
    health: state && { ...identity, incarnation, state },
    load: load === null ? undefined : loadFromFields(load),
  };
}

function loadFromFields(fields: NonNullable<ResultFields[5]>): SharedResult['load'] {
  const [connections, connectionLimit, busySlots, slots, queuedRequests] = fields;
  return { connections, connectionLimit, busySlots, slots, queuedRequests };
}
