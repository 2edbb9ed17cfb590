/** @file The load table that balancers and control machines exchange: estimated requests in progress by back end. */
import { eachRow, LOAD_ROWS, type PackedRows } from './packed-rows.js';

/** Load of one back end, as observed by one or more processes. */
export interface BackendLoadEntry {
  /** The 32-bit token of the back end. */
  readonly token: number;
  /** Estimated requests in progress, including opened flows that have not sent their request yet. */
  readonly busy: number;
}

/** Rows with the shape `LOAD_ROWS`. */
export type PackedLoads = PackedRows;

/** @returns the entries as a flat list */
export function packLoads(entries: Iterable<BackendLoadEntry>): PackedLoads {
  const packed: number[] = [];
  for (const { token, busy } of entries) {
    packed.push(token, busy);
  }
  return packed;
}

/** Calls `visit` for each entry of a flat list; skips an incomplete last entry. */
export function eachLoad(packed: PackedLoads, visit: (token: number, busy: number) => void): void {
  eachRow(packed, LOAD_ROWS, (token, [busy = 0]) => visit(token, busy));
}
