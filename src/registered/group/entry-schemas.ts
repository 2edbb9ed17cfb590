/**
 * @file Schemas of the entries that messages between processes list: back ends, balancers, zones, parts of a configuration. They
 * hold the only bounds of these entries. What enters through a call is checked by them before it is acknowledged, and a
 * receiver leaves out just the entries that do not match (wire/omitted-entries.ts).
 */
import * as z from 'zod/mini';
import {
  indexSchema as index,
  messageAddressSchema as address,
  nonNegativeSchema as amount,
  textSchema as text,
} from '../../shared/consensus/message-schemas.js';

/** Larger than any configuration of the largest supported deployment; half of the largest frame. */
export const MAX_DOCUMENT_BYTES = 4 * 1024 * 1024;
/**
 * Rows of a column in a feed message; rejects oversized messages of faulty senders. Limits the targets of a route and the
 * services with a slow start, since a message carries all of them or none.
 */
export const MAX_COLUMN_ROWS = 50_000;

/** The last heartbeat of a back end. */
export const recordSchema = z.object({
  id: text,
  instanceNumber: z.string().check(z.regex(/^[0-9a-f]{16}$/)),
  service: text,
  address,
  zone: text,
  capacity: amount,
  warmUpLeftMs: amount,
  sequence: amount,
});
/** A heartbeat with its age in milliseconds. */
export const agedRecordSchema = z.object({ record: recordSchema, ageMs: z.number() });
/** A departure of a back end. */
export const departureSchema = z.object({ backendId: text, kind: z.enum(['draining', 'gone']) });
/** A liveness change of a back end. */
export const livenessChangeSchema = z.object({ backendId: text, silentMs: index });
/** A balancer that is registered with the group. */
export const balancerSchema = z.object({ name: text, zone: text, peerAddress: address });
/** A control machine; its zone may be unknown. */
export const controlSchema = z.object({ linkAddress: address, zone: z.optional(text) });
/** Status of a zone. */
export const zoneStatusSchema = z.object({ zone: text, isEvacuated: z.boolean(), orders: index });
/** Status of a zone in a feed. */
export const zoneUpdateSchema = z.extend(zoneStatusSchema, { readmittedAgoMs: z.optional(amount) });
/** A target of a route. */
export const targetSchema = z.object({ service: text, weight: amount });
/** Attributes of a route. */
export const routeAttributesSchema = z.object({ priority: amount, latencyObjectiveMs: amount });
/** Slow start of a service. */
export const warmUpSchema = z.object({
  service: text,
  warmUpMs: amount,
  coldRequestsPerS: amount,
});
/** The slow starts of all services. */
export const warmUpsSchema = z.array(warmUpSchema).check(z.maxLength(MAX_COLUMN_ROWS));
/** Text of a configuration document. */
export const documentTextSchema = z.string().check(z.maxLength(MAX_DOCUMENT_BYTES));
