/**
 * @file An append-only file of checksummed records. Each record: length 4 bytes, CRC-32 of the
 * payload 4 bytes, payload. A torn tail, left by a crash in the middle of a write, is cut off when
 * the file is opened.
 */
import { open, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';
import CRC32 from 'crc-32';

const HEADER_BYTES = 8;
const CRC_OFFSET = 4;

/** An open record file. */
export interface RecordFile {
  /** The records found when the file was opened. */
  readonly recovered: readonly Buffer[];
  /** Appends records and syncs them; they last once this resolves. */
  append(payloads: readonly Uint8Array[]): Promise<void>;
  close(): Promise<void>;
}

/**
 * Opens or creates a record file.
 */
export async function openRecordFile(path: string): Promise<RecordFile> {
  const handle = await open(path, 'a+');
  const content = await handle.readFile();
  const { records, validBytes } = scanRecords(content);
  if (validBytes < content.length) {
    await handle.truncate(validBytes);
  }
  await handle.sync();
  await syncFolder(dirname(path));
  return {
    recovered: records,
    append: (payloads) => appendRecords(handle, payloads),
    close: () => handle.close(),
  };
}

/**
 * @returns the bytes of one record
 */
export function encodeRecord(payload: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length);
  header.writeInt32BE(CRC32.buf(payload), CRC_OFFSET);
  return Buffer.concat([header, payload]);
}

/** The whole records at the start of some bytes. */
export interface ScannedRecords {
  readonly records: Buffer[];
  /** How many bytes the whole records take; what follows is torn. */
  readonly validBytes: number;
}

/**
 * @returns the records up to the first torn or corrupt one
 */
export function scanRecords(content: Buffer): ScannedRecords {
  const records: Buffer[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= content.length) {
    const end = offset + HEADER_BYTES + content.readUInt32BE(offset);
    if (end > content.length) {
      break;
    }
    const payload = content.subarray(offset + HEADER_BYTES, end);
    if (CRC32.buf(payload) !== content.readInt32BE(offset + CRC_OFFSET)) {
      break;
    }
    records.push(payload);
    offset = end;
  }
  return { records, validBytes: offset };
}

async function appendRecords(handle: FileHandle, payloads: readonly Uint8Array[]): Promise<void> {
  await handle.appendFile(Buffer.concat(payloads.map(encodeRecord)));
  await handle.datasync();
}

/** Makes a new file name last. */
async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  await handle.sync();
  await handle.close();
}
