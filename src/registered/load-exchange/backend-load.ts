/**
 * @file The table of loads: how many requests seem to be in progress at each back end, as balancers and control
 * machines exchange it.
 */
import { eachRow, LOAD_ROWS, type PackedRows } from './packed-rows.js';

/** Load of one back end, as far as one process or several have seen it. */
export interface BackendLoadEntry {
  /** The 32-bit token of the back end. */
  readonly token: number;
  /** Requests that seem to be in progress, with opens that have not brought their request yet. */
  readonly busy: number;
}

/** Entries one after the other, two numbers each: token, requests. */
export type PackedLoads = PackedRows;

/** @returns the entries as a flat list */
export function packLoads(entries: Iterable<BackendLoadEntry>): PackedLoads {
  const packed: number[] = [];
  for (const { token, busy } of entries) {
    packed.push(token, busy);
  }
  return packed;
}

/** Calls back with each entry of a flat list; one that is cut short is left out. */
export function eachLoad(packed: PackedLoads, visit: (token: number, busy: number) => void): void {
  eachRow(packed, LOAD_ROWS, (token, [busy = 0]) => visit(token, busy));
}
