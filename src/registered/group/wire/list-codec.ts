/**
 * @file Balancers, control machines and zones as they travel in a feed.
 */
import type { BalancerInfo, ControlInfo, ZoneUpdate } from '../group-messages.js';
import {
  NOT_SEEN,
  type PackedBalancers,
  type PackedControls,
  type PackedZones,
} from './packed-feed.js';
import { addressAt, createNameTable, packAddresses } from './packed-names.js';

/** @returns balancers in columns */
export function packBalancers(all: readonly BalancerInfo[]) {
  const names = createNameTable();
  const zones = all.map(({ zone }) => names.numberOf(zone));
  return {
    ids: all.map(({ name }) => name),
    names: names.names(),
    zones,
    addresses: packAddresses(all.map(({ peerAddress }) => peerAddress)),
  };
}

/** @returns the balancers of columns that were checked to be whole */
export function unpackBalancers({
  ids,
  names,
  zones,
  addresses: packed,
}: PackedBalancers): BalancerInfo[] {
  return ids.map((name, at) => ({
    name,
    zone: names[zones[at] ?? 0] ?? '',
    peerAddress: addressAt(packed, at),
  }));
}

/** @returns control machines in columns; an empty name stands for an unknown zone */
export function packControls(all: readonly ControlInfo[]) {
  const names = createNameTable();
  const zones = all.map(({ zone }) => names.numberOf(zone ?? ''));
  const linkAddresses = all.map(({ linkAddress }) => linkAddress);
  return { names: names.names(), zones, addresses: packAddresses(linkAddresses) };
}

/** @returns the control machines of columns that were checked to be whole */
export function unpackControls({ names, zones, addresses: packed }: PackedControls) {
  return zones.map((number, at): ControlInfo => {
    const zone = names[number] ?? '';
    return { linkAddress: addressAt(packed, at), ...(zone !== '' && { zone }) };
  });
}

/** @returns zones in columns */
export function packZones(all: readonly ZoneUpdate[]): PackedZones {
  return {
    names: all.map(({ zone }) => zone),
    areEvacuated: all.map(({ isEvacuated }) => isEvacuated),
    orders: all.map(({ orders }) => orders),
    readmittedAgo: all.map(({ readmittedAgoMs }) => readmittedAgoMs ?? NOT_SEEN),
  };
}

/** @returns the zones of columns that were checked to be whole */
export function unpackZones({
  names,
  areEvacuated,
  orders,
  readmittedAgo,
}: PackedZones): ZoneUpdate[] {
  return names.map((zone, at) => {
    const agoMs = readmittedAgo[at] ?? NOT_SEEN;
    return {
      zone,
      isEvacuated: areEvacuated[at] ?? false,
      orders: orders[at] ?? 0,
      ...(agoMs >= 0 && { readmittedAgoMs: agoMs }),
    };
  });
}
