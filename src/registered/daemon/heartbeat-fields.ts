/**
 * @file What the fields of a heartbeat may be, whatever an adapter calls them, and why one is refused. Whoever can reach a
 * control machine may send it something, so each number has a bound; a heartbeat that exceeds one, or lacks a field, is
 * that of no back end.
 */
import * as z from 'zod/mini';
import { parseAddress, type Address } from '../../shared/common/address.js';
import { describeFaults } from '../../shared/common/schema-faults.js';
import { isValidBackendName } from '../registry/backend-start.js';
import { decodePathPart, refusedCall, type TranslatedCall } from './call-listener.js';

/** Characters of a name; with the time of a start below what messages between control machines take for a text (200). */
export const MAX_NAME_LENGTH = 100;
/** Requests that one back end works on at once: far above any that is known, far below what would draw all flows. */
const MAX_CAPACITY = 100_000;
/** No back end is cold for a day; a longer time is a mistake of units. */
const MAX_WARM_UP_MS = 24 * 60 * 60 * 1_000;
/** Times that a date can hold. */
const MAX_UNIX_MS = 8.64e15;

/** Names of services and zones. */
export const nameField = z.string().check(z.minLength(1), z.maxLength(MAX_NAME_LENGTH));
/** Requests that a back end works on at once. */
export const capacityField = z.number().check(z.positive(), z.maximum(MAX_CAPACITY));
/** Milliseconds for which a back end is still cold. */
export const warmUpField = z.number().check(z.nonnegative(), z.maximum(MAX_WARM_UP_MS));
/** Rises with each heartbeat of one start. */
export const sequenceField = z.int().check(z.nonnegative());
/** Unix time of a start in milliseconds. */
export const startTimeField = z.int().check(z.nonnegative(), z.maximum(MAX_UNIX_MS));

/** @returns the address of a back end, or undefined where the text is none that packets can be sent to */
export function backendAddress(text: string): Address | undefined {
  const address = parseAddress(text);
  return address === undefined || address.port === 0 ? undefined : address;
}

/** @returns the name of a back end in a path, or undefined where it is none */
export function backendNameOf(pathPart: string): string | undefined {
  const name = decodePathPart(pathPart, MAX_NAME_LENGTH);
  return name !== undefined && isValidBackendName(name) ? name : undefined;
}

/** @returns the refusal of a heartbeat or departure whose path names no back end */
export function refusedName(): TranslatedCall {
  return refusedCall('invalid-command', 'The ID is not valid.', 'id');
}

/**
 * @returns the refusal of a heartbeat or departure that a schema refused; counted by the first field that is at fault, a
 *   name of the schema and so one of few
 */
export function refusedFields(error: z.core.$ZodError): TranslatedCall {
  const field = error.issues[0]?.path[0];
  const reason = typeof field === 'string' ? field : 'unreadable';
  return refusedCall('invalid-command', describeFaults(error), reason);
}
