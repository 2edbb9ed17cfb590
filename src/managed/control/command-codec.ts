/**
 * @file MessagePack serialization of log entries.
 */
import { Packr } from 'msgpackr';
import type { CommandEntry } from './commands.js';

const packr = new Packr({ useRecords: false });

/**
 * Serializes an entry for the log.
 */
export function encodeCommandEntry(entry: CommandEntry): Uint8Array {
  return Uint8Array.from(packr.pack(entry));
}

/**
 * Parses an entry from the log; its shape is not validated.
 */
export function decodeCommandEntry(data: Uint8Array): CommandEntry {
  return packr.unpack(data) as CommandEntry;
}
