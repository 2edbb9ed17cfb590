/**
 * @file The form of record files: each record has a marker, its length, a CRC-32 of its payload and the
 * payload. One record is one synced write, so that a crash can leave only the last one incomplete; a
 * bad record with good ones after it means damage, not a crash.
 */
import CRC32 from 'crc-32';

const MARKER = Buffer.from('ALR1', 'latin1');
const LENGTH_OFFSET = 4;
const CRC_OFFSET = 8;

/** Bytes that stand before each payload. */
export const RECORD_HEADER_BYTES = 12;

/**
 * @param payload the content; not empty
 * @returns the bytes of one record
 */
export function encodeRecord(payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  MARKER.copy(record);
  record.writeUInt32BE(payload.length, LENGTH_OFFSET);
  record.writeInt32BE(CRC32.buf(payload), CRC_OFFSET);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/** The whole records at the start of some bytes. */
export interface ScannedRecords {
  readonly records: Buffer[];
  /** How many bytes the whole records take; what follows is torn or damaged. */
  readonly validBytes: number;
  /** Where a whole record begins after the bad bytes; undefined where the bad bytes are a torn tail. */
  readonly laterRecordAt: number | undefined;
}

/**
 * @returns the records up to the first torn or damaged one
 */
export function scanRecords(content: Buffer): ScannedRecords {
  const records: Buffer[] = [];
  let offset = 0;
  for (;;) {
    const payload = payloadAt(content, offset);
    if (payload === undefined) {
      break;
    }
    records.push(payload);
    offset += RECORD_HEADER_BYTES + payload.length;
  }
  return { records, validBytes: offset, laterRecordAt: findRecord(content, offset + 1) };
}

function payloadAt(content: Buffer, offset: number): Buffer | undefined {
  const start = offset + RECORD_HEADER_BYTES;
  const hasMarker =
    start <= content.length && content.subarray(offset, offset + MARKER.length).equals(MARKER);
  if (!hasMarker) {
    return undefined;
  }
  const end = start + content.readUInt32BE(offset + LENGTH_OFFSET);
  if (end > content.length || end === start) {
    return undefined;
  }
  const payload = content.subarray(start, end);
  const isIntact = CRC32.buf(payload) === content.readInt32BE(offset + CRC_OFFSET);
  return isIntact ? payload : undefined;
}

function findRecord(content: Buffer, from: number): number | undefined {
  for (let at = content.indexOf(MARKER, from); at >= 0; at = content.indexOf(MARKER, at + 1)) {
    if (payloadAt(content, at) !== undefined) {
      return at;
    }
  }
  return undefined;
}
