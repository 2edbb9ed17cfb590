/**
 * @file Columns of names and addresses in packed messages: what repeats is written once, and rows refer to it by
 * number.
 */
import type { Address } from '../../../shared/common/address.js';
import type { PackedAddresses } from './packed-feed.js';

/** @returns a table that numbers texts that repeat, in the order in which they come */
export function createNameTable() {
  const numbersByName = new Map<string, number>();
  return { numberOf, names: () => [...numbersByName.keys()] };

  function numberOf(name: string): number {
    const known = numbersByName.get(name) ?? numbersByName.size;
    numbersByName.set(name, known);
    return known;
  }
}

/** @returns addresses in columns, each host once */
export function packAddresses(all: readonly Address[]): PackedAddresses {
  const hosts = createNameTable();
  const hostOf = all.map(({ host }) => hosts.numberOf(host));
  return { hosts: hosts.names(), hostOf, ports: all.map(({ port }) => port) };
}

/** @returns the address in a row */
export function addressAt({ hosts, hostOf, ports }: PackedAddresses, at: number): Address {
  return { host: hosts[hostOf[at] ?? 0] ?? '', port: ports[at] ?? 0 };
}
