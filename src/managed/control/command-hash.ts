/**
 * @file A digest of a command, by which a command ID that is used for another command is noticed.
 */
import { createHash } from 'node:crypto';
import { Packr } from 'msgpackr';
import type { Command } from './commands.js';

const packr = new Packr({ useRecords: false });

/**
 * @returns SHA-256 of the command's MessagePack form, in hex
 */
export function commandHash(command: Command): string {
  return createHash('sha256').update(packr.pack(command)).digest('hex');
}

/**
 * @param token an operator's bearer token
 * @returns SHA-256 of it in hex, the form in which it is stored
 */
export function operatorTokenHash(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
