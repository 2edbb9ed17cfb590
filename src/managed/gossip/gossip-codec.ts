/**
 * @file The datagrams of gossip as bytes: 8 bytes of SipHash-2-4 under a key made from the cluster
 * key, then MessagePack. Records are arrays, since names of fields would be most of a datagram.
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

const count = z.number().int().min(0);
const port = count.max(MAX_PORT);
const addressFields = z.tuple([z.string(), port, port]);
const recordFields = z.tuple([
  z.string().min(1),
  count,
  count.max(STATUSES.length - 1),
  z.string(),
  port,
  port,
]);
const zoneFields = z.tuple([z.string(), count, count, z.array(addressFields)]);
const messageFields = z.tuple([
  count.max(TYPES.length - 1),
  z.string(),
  recordFields,
  z.array(recordFields),
  z.array(zoneFields),
  /** Sequence; 0 where the type has none. */
  count,
  /** Digest, target or whether an answer is wanted, by type. */
  z.union([count, addressFields, z.boolean()]),
]);

const MAX_UINT32 = 0xffff_ffff;
const resultFields = z.tuple([
  /** Back end ID, age in milliseconds, state; 0 where the back end did not answer. */
  count,
  count,
  count.max(3),
  /** Incarnation, and the ID that the back end reported; absent where it reported none. */
  count.max(MAX_UINT32),
  count.nullable(),
  /** As in `LoadReport`; absent where it is not known. */
  z.tuple([count, count, count, count, count]).nullable(),
]);
const HEALTH_FIELD_COUNT = 2;
const healthFields = z.tuple([z.string(), z.array(resultFields)]);
const datagramFields = z.union([healthFields, messageFields]);

type ResultFields = z.infer<typeof resultFields>;
type HealthFields = z.infer<typeof healthFields>;
type AddressFields = z.infer<typeof addressFields>;
type RecordFields = z.infer<typeof recordFields>;
type ZoneFields = z.infer<typeof zoneFields>;
type MessageFields = z.infer<typeof messageFields>;

/** The key under which a cluster's datagrams are hashed. */
export type GossipKey = Uint8Array;

/**
 * @returns the key that belongs to a cluster key
 */
export function gossipKey(clusterKey: string): GossipKey {
  const digest = createHash('sha256').update(`gossip:${clusterKey}`).digest();
  return digest.subarray(0, KEYED_HASH_KEY_BYTES);
}

/**
 * @returns the datagram
 */
export function encodeGossip(message: PeerDatagram, key: GossipKey): Buffer {
  const body = packr.pack(message.type === 'health' ? healthToFields(message) : toFields(message));
  return Buffer.concat([keyedHash(key, body), body]);
}

/**
 * @returns the message; `wrong-cluster` where the hash does not fit, `malformed-datagram` where the
 *   rest does not; never throws
 */
export function decodeGossip(
  datagram: Uint8Array,
  key: GossipKey,
): Result<PeerDatagram, AmberliftError> {
  const body = datagram.subarray(KEYED_HASH_BYTES);
  const mac = datagram.subarray(0, KEYED_HASH_BYTES);
  if (!Buffer.from(keyedHash(key, body)).equals(mac)) {
    return err(amberliftError('wrong-cluster', 'The datagram was made with another cluster key.'));
  }
  const parsed = datagramFields.safeParse(unpack(body));
  if (!parsed.success) {
    return err(amberliftError('malformed-datagram', 'The datagram is no gossip message.'));
  }
  return parsed.data.length === HEALTH_FIELD_COUNT
    ? ok(healthFromFields(parsed.data))
    : fromFields(parsed.data);
}

function unpack(body: Uint8Array): unknown {
  try {
    return packr.unpack(body);
  } catch {
    // The decoder throws for bytes that are no MessagePack; the schema refuses undefined as malformed.
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
    lastField(message),
  ];
}

function lastField(message: GossipMessage): MessageFields[6] {
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
  return err(amberliftError('malformed-datagram', 'The datagram does not fit its type.'));
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
