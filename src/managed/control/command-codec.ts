/**
 * @file The form in which commands stand in the log.
 */
import { Packr } from 'msgpackr';
import type { CommandEntry } from './commands.js';

const packr = new Packr({ useRecords: false });

/**
 * @returns the bytes of a log entry
 */
export function encodeCommandEntry(entry: CommandEntry): Uint8Array {
  return Uint8Array.from(packr.pack(entry));
}

/**
 * @returns the command of a log entry
 */
export function decodeCommandEntry(data: Uint8Array): CommandEntry {
  return packr.unpack(data) as CommandEntry;
}
