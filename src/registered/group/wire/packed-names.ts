/**
 * @file Deduplicates names and hosts in packed messages: rows refer to them by index.
 */
import type { Address } from '../../../shared/common/address.js';
import type { PackedAddresses } from './packed-feed.js';

/** @returns a table that assigns an index to each distinct name, in order of first use */
export function createNameTable() {
  const numbersByName = new Map<string, number>();
  return { numberOf, names: () => [...numbersByName.keys()] };

  function numberOf(name: string): number {
    const number = numbersByName.get(name) ?? numbersByName.size;
    numbersByName.set(name, number);
    return number;
  }
}

/** @returns addresses in columns, with deduplicated hosts */
export function packAddresses(addresses: readonly Address[]): PackedAddresses {
  const hosts = createNameTable();
  const hostOf = addresses.map(({ host }) => hosts.numberOf(host));
  return { hosts: hosts.names(), hostOf, ports: addresses.map(({ port }) => port) };
}

/** @returns the address in a row */
export function addressAt({ hosts, hostOf, ports }: PackedAddresses, row: number): Address {
  return { host: hosts[hostOf[row] ?? 0] ?? '', port: ports[row] ?? 0 };
}
