/**
 * @file Generates command IDs from a timestamp and a random suffix. The cluster uses them to deduplicate retries.
 */
import { randomBytes } from 'node:crypto';
import { timedCommandId } from '../../managed/control/command-id.js';

const SUFFIX_BYTES = 8;

/**
 * @returns a unique command ID that carries the current time
 */
export function newCommandId(): string {
  return timedCommandId(Date.now(), randomBytes(SUFFIX_BYTES).toString('hex'));
}
