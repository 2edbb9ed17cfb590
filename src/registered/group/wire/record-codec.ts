/**
 * @file Packs the back-end records of a feed message into columns.
 */
import type { AgedRecord } from '../group-messages.js';
import { INSTANCE_BYTES, type PackedRecords } from './packed-feed.js';
import { addressAt, createNameTable, packAddresses } from './packed-names.js';

/** @returns records in columns */
export function packRecords(aged: readonly AgedRecord[]): PackedRecords {
  const names = createNameTable();
  const records = aged.map(({ record }) => record);
  return {
    ids: records.map(({ id }) => id),
    instances: Buffer.from(records.map(({ instanceNumber }) => instanceNumber).join(''), 'hex'),
    services: records.map(({ service }) => names.numberOf(service)),
    zones: records.map(({ zone }) => names.numberOf(zone)),
    names: names.names(),
    addresses: packAddresses(records.map(({ address }) => address)),
    capacities: records.map(({ capacity }) => capacity),
    warmUps: records.map(({ warmUpLeftMs }) => warmUpLeftMs),
    sequences: records.map(({ sequence }) => sequence),
    ages: aged.map(({ ageMs }) => ageMs),
  };
}

/** Unpacks validated columns. */
export function unpackRecords(packed: PackedRecords): AgedRecord[] {
  const { ids, names, services, zones, instances } = packed;
  const digits = Buffer.from(instances).toString('hex');
  return ids.map((id, row) => ({
    record: {
      id,
      instanceNumber: digits.slice(2 * INSTANCE_BYTES * row, 2 * INSTANCE_BYTES * (row + 1)),
      service: names[services[row] ?? 0] ?? '',
      address: addressAt(packed.addresses, row),
      zone: names[zones[row] ?? 0] ?? '',
      capacity: packed.capacities[row] ?? 0,
      warmUpLeftMs: packed.warmUps[row] ?? 0,
      sequence: packed.sequences[row] ?? 0,
    },
    ageMs: packed.ages[row] ?? 0,
  }));
}
