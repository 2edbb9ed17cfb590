/**
 * @file Packs the balancers, control machines and zones of a feed message into columns.
 */
import type { BalancerInfo, ControlInfo, ZoneUpdate } from '../group-messages.js';
import {
  UNKNOWN_AGE,
  type PackedBalancers,
  type PackedControls,
  type PackedZones,
} from './packed-feed.js';
import { addressAt, createNameTable, packAddresses } from './packed-names.js';

/** @returns balancers in columns */
export function packBalancers(balancers: readonly BalancerInfo[]) {
  const names = createNameTable();
  const zones = balancers.map(({ zone }) => names.numberOf(zone));
  return {
    ids: balancers.map(({ name }) => name),
    names: names.names(),
    zones,
    addresses: packAddresses(balancers.map(({ peerAddress }) => peerAddress)),
  };
}

/** Unpacks validated columns. */
export function unpackBalancers({
  ids,
  names,
  zones,
  addresses: packed,
}: PackedBalancers): BalancerInfo[] {
  return ids.map((name, row) => ({
    name,
    zone: names[zones[row] ?? 0] ?? '',
    peerAddress: addressAt(packed, row),
  }));
}

/** @returns control machines in columns; an empty name stands for an unknown zone */
export function packControls(controls: readonly ControlInfo[]) {
  const names = createNameTable();
  const zones = controls.map(({ zone }) => names.numberOf(zone ?? ''));
  const linkAddresses = controls.map(({ linkAddress }) => linkAddress);
  return { names: names.names(), zones, addresses: packAddresses(linkAddresses) };
}

/** Unpacks validated columns; a control machine with an empty zone name gets no zone. */
export function unpackControls({ names, zones, addresses: packed }: PackedControls) {
  return zones.map((number, row): ControlInfo => {
    const zone = names[number] ?? '';
    return { linkAddress: addressAt(packed, row), ...(zone !== '' && { zone }) };
  });
}

/** @returns zones in columns; `UNKNOWN_AGE` stands for a missing readmission time */
export function packZones(zones: readonly ZoneUpdate[]): PackedZones {
  return {
    names: zones.map(({ zone }) => zone),
    areEvacuated: zones.map(({ isEvacuated }) => isEvacuated),
    orders: zones.map(({ orders }) => orders),
    readmittedAgo: zones.map(({ readmittedAgoMs }) => readmittedAgoMs ?? UNKNOWN_AGE),
  };
}

/** Unpacks validated columns. */
export function unpackZones({
  names,
  areEvacuated,
  orders,
  readmittedAgo,
}: PackedZones): ZoneUpdate[] {
  return names.map((zone, row) => {
    const agoMs = readmittedAgo[row] ?? UNKNOWN_AGE;
    return {
      zone,
      isEvacuated: areEvacuated[row] ?? false,
      orders: orders[row] ?? 0,
      ...(agoMs >= 0 && { readmittedAgoMs: agoMs }),
    };
  });
}
