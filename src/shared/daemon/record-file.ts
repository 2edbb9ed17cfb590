/**
 * @file Format of record files: each record is a marker, the payload length, a CRC-32 of the payload, and the payload. Each
 * record is synced before the next is written, so an invalid record that is followed by a valid one means corruption, not a
 * torn write.
 */
import CRC32 from 'crc-32';

const MARKER = Buffer.from('ALR1', 'latin1');
const LENGTH_OFFSET = 4;
const CRC_OFFSET = 8;

/** Size of the header before each payload. */
export const RECORD_HEADER_BYTES = 12;

/**
 * @param payload must not be empty
 * @returns the encoded record
 */
export function encodeRecord(payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  MARKER.copy(record);
  record.writeUInt32BE(payload.length, LENGTH_OFFSET);
  record.writeInt32BE(CRC32.buf(payload), CRC_OFFSET);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/** The valid records at the start of a file. */
export interface ScannedRecords {
  /** Payloads of the valid records. */
  readonly records: Buffer[];
  /** Length of the valid records in bytes; the rest is torn or damaged. */
  readonly validBytes: number;
  /** Offset of the first valid record after the invalid bytes; undefined if there is none, as after a torn write. */
  readonly laterRecordAt: number | undefined;
}

/**
 * @returns the records before the first torn or damaged one
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
