/**
 * @file Command IDs that the client generates: a time and a random part, so that a command that is sent again is recognised.
 */
import { randomBytes } from 'node:crypto';
import { timedCommandId } from '../../managed/control/command-id.js';

const SUFFIX_BYTES = 8;

/**
 * @returns a command ID with the present time, which no other client makes
 */
export function newCommandId(): string {
  return timedCommandId(Date.now(), randomBytes(SUFFIX_BYTES).toString('hex'));
}
