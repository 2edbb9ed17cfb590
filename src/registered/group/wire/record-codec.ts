/**
 * @file Records of back ends as they travel in a feed.
 */
import type { AgedRecord } from '../group-messages.js';
import { INSTANCE_BYTES, type PackedRecords } from './packed-feed.js';
import { addressAt, createNameTable, packAddresses } from './packed-names.js';

/** @returns records in columns */
export function packRecords(aged: readonly AgedRecord[]): PackedRecords {
  const names = createNameTable();
  const all = aged.map(({ record }) => record);
  return {
    ids: all.map(({ id }) => id),
    instances: Buffer.from(all.map(({ instanceNumber }) => instanceNumber).join(''), 'hex'),
    services: all.map(({ service }) => names.numberOf(service)),
    zones: all.map(({ zone }) => names.numberOf(zone)),
    names: names.names(),
    addresses: packAddresses(all.map(({ address }) => address)),
    capacities: all.map(({ capacity }) => capacity),
    warmUps: all.map(({ warmUpLeftMs }) => warmUpLeftMs),
    sequences: all.map(({ sequence }) => sequence),
    ages: aged.map(({ ageMs }) => ageMs),
  };
}

/** @returns the records of columns that were checked to be whole */
export function unpackRecords(packed: PackedRecords): AgedRecord[] {
  const { ids, names, services, zones, instances } = packed;
  const digits = Buffer.from(instances).toString('hex');
  return ids.map((id, at) => ({
    record: {
      id,
      instanceNumber: digits.slice(2 * INSTANCE_BYTES * at, 2 * INSTANCE_BYTES * (at + 1)),
      service: names[services[at] ?? 0] ?? '',
      address: addressAt(packed.addresses, at),
      zone: names[zones[at] ?? 0] ?? '',
      capacity: packed.capacities[at] ?? 0,
      warmUpLeftMs: packed.warmUps[at] ?? 0,
      sequence: packed.sequences[at] ?? 0,
    },
    ageMs: packed.ages[at] ?? 0,
  }));
}
