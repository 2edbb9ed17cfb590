/**
 * @file Records of back ends for tests, as their first heartbeats tell them.
 */
import type { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import type { KnownBackend } from '../../../src/registered/ingress/known-backend.js';
import type { BackendRecord } from '../../../src/registered/registry/backend-record.js';

const INSTANCE_DIGITS = 16;
const HEXADECIMAL = 16;

/** @returns the record of a back end of `alpha` in `zone-a`, but for the changes */
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

/** Lets a table take the first heartbeat of a back end. */
export function takeIn(table: BackendTable, record: BackendRecord, nowMs: number): KnownBackend {
  table.applyRecord({ record, ageMs: 0 }, nowMs);
  const backend = table.find(record.id);
  if (backend === undefined) {
    throw new Error(`${record.id} was not taken.`);
  }
  return backend;
}
