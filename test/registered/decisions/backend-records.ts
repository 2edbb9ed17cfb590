/** @file Back end records for tests. */
import type { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import type { KnownBackend } from '../../../src/registered/ingress/known-backend.js';
import type { BackendRecord } from '../../../src/registered/registry/backend-record.js';

const INSTANCE_DIGITS = 16;
const HEXADECIMAL = 16;

/** @returns a record of a back end of service `alpha` in `zone-a`, with the given changes */
export function recordOf(number: number, changes: Partial<BackendRecord> = {}): BackendRecord {
  return {
    id: `backend-${number}`,
    instanceNumber: number.toString(HEXADECIMAL).padStart(INSTANCE_DIGITS, '0'),
    service: 'alpha',
    address: { host: `10.0.2.${number}`, port: 9_000 },
    zone: 'zone-a',
    capacity: 2,
    warmUpLeftMs: 0,
    sequence: 1,
    ...changes,
  };
}

/** Adds a back end to a table by its first heartbeat. */
export function applyFirstHeartbeat(
  table: BackendTable,
  record: BackendRecord,
  nowMs: number,
): KnownBackend {
  table.applyRecord({ record, ageMs: 0 }, nowMs);
  const backend = table.find(record.id);
  if (backend === undefined) {
    throw new Error(`The table has no ${record.id}.`);
  }
  return backend;
}
