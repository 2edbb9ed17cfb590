/**
 * @file Validation of the fields of a heartbeat, shared by all adapters. Heartbeats are untrusted input, so every
 * number and text is bounded.
 */
import * as z from 'zod/mini';
import { parseAddress, type Address } from '../../shared/common/address.js';
import { describeFaults } from '../../shared/common/schema-faults.js';
import { messageAddressSchema } from '../../shared/consensus/message-schemas.js';
import { isValidBackendName } from '../registry/backend-start.js';
import { boundedName } from '../registry/bounded-name.js';
import { decodePathPart, refusedCall, type TranslatedCall } from './call-listener.js';

/** Concurrent requests; prevents a back end from attracting all flows. */
const MAX_CAPACITY = 100_000;
/** One day; a longer time is a mistake in units. */
const MAX_WARM_UP_MS = 24 * 60 * 60 * 1_000;
/** Largest time that a `Date` can represent. */
const MAX_UNIX_MS = 8.64e15;

/** Name of a service or zone, shortened if it is long. */
export const nameField = z.pipe(
  z.string().check(z.minLength(1)),
  z.transform((text: string) => boundedName(text)),
);
/** Concurrent requests that a back end can process. */
export const capacityField = z.number().check(z.positive(), z.maximum(MAX_CAPACITY));
/** Remaining warm-up time in milliseconds. */
export const warmUpField = z.number().check(z.nonnegative(), z.maximum(MAX_WARM_UP_MS));
/** Increases with each heartbeat of one start. */
export const sequenceField = z.int().check(z.nonnegative());
/** Start time as Unix time in milliseconds. */
export const startTimeField = z.int().check(z.nonnegative(), z.maximum(MAX_UNIX_MS));

/** @returns the address of a back end, or undefined if it is invalid, has port 0 or does not fit into messages */
export function backendAddress(text: string): Address | undefined {
  const address = parseAddress(text);
  const canBeSent = messageAddressSchema.safeParse(address).success;
  return address === undefined || address.port === 0 || !canBeSent ? undefined : address;
}

/** @returns the name of a back end from a path segment, or undefined if it is not valid */
export function backendNameOf(pathPart: string): string | undefined {
  const name = decodePathPart(pathPart);
  return name !== undefined && isValidBackendName(name) ? name : undefined;
}

/** @returns the refusal of a request whose path has no valid name of a back end */
export function refusedName(): TranslatedCall {
  return refusedCall('invalid-command', 'Invalid backend ID', 'id');
}

/** @returns the refusal of a body that failed validation; its reason is the first invalid field of the schema */
export function refusedFields(error: z.core.$ZodError): TranslatedCall {
  const field = error.issues[0]?.path[0];
  const reason = typeof field === 'string' ? field : 'unreadable';
  return refusedCall('invalid-command', describeFaults(error), reason);
}
