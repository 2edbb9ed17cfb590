/**
 * @file Names inside the system: of services, zones, back ends and processes. All of them fit into messages between processes.
 * Operators and back ends may use longer ones, which are shortened where they enter.
 */
import type { createHash } from 'node:crypto';
import { MAX_TEXT_LENGTH } from '../../shared/consensus/message-schemas.js';

/** Characters; leaves room for the start time in the ID of a start (backend-start.ts). */
export const MAX_NAME_LENGTH = MAX_TEXT_LENGTH / 2;

/** 128 bits, so that no two names get the same digest. */
const DIGEST_DIGITS = 32;
const DIGEST_SEPARATOR = '~';
const PREFIX_LENGTH = MAX_NAME_LENGTH - DIGEST_SEPARATOR.length - DIGEST_DIGITS;
/** Halves of surrogate pairs, which have no encoding in messages. */
const LONE_SURROGATES = /\p{Surrogate}/gu;

/**
 * @returns the name itself if messages can carry it, otherwise its beginning with a digest of the whole: the same on every
 *   machine, and different for different names. The name of a name is the name itself.
 */
export function boundedName(text: string): string {
  const encodable = text.replace(LONE_SURROGATES, '');
  if (text.length <= MAX_NAME_LENGTH && encodable === text) {
    return text;
  }
  const prefix = encodable.slice(0, PREFIX_LENGTH).replace(LONE_SURROGATES, '');
  return `${prefix}${DIGEST_SEPARATOR}${digestOf(text)}`;
}

function digestOf(text: string): string {
  // Loaded when it is first needed, since it takes memory and hardly any deployment has such names.
  const crypto = process.getBuiltinModule('node:crypto') as { createHash: typeof createHash };
  return crypto.createHash('sha256').update(text, 'utf16le').digest('hex').slice(0, DIGEST_DIGITS);
}
