/**
 * @file Digests of commands, which detect reused command IDs, and of bearer tokens.
 */
import { createHash } from 'node:crypto';
import { Packr } from 'msgpackr';
import type { Command } from './commands.js';

const packr = new Packr({ useRecords: false });

/**
 * @returns SHA-256 of the command in MessagePack, as hex
 */
export function commandHash(command: Command): string {
  return createHash('sha256').update(packr.pack(command)).digest('hex');
}

/**
 * @param token an operator's bearer token
 * @returns SHA-256 of the token as hex, as stored in the cluster state
 */
export function operatorTokenHash(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
