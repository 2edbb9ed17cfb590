/**
 * @file Tables of numbers by back end, as processes exchange them up to twice a second: a flat list in which each row
 * begins with the 32-bit token of the back end. The form is the one on the wire.
 */

/** Rows one after the other; each has as many numbers as the shape of the table says. */
export type PackedRows = readonly number[];

/** What a row of a table is made of. */
export interface RowShape {
  /** How many numbers stand for one back end, its token included. */
  readonly numbers: number;
  /** What they take on a link, about: MessagePack takes five bytes for a token, one to three for a small number. */
  readonly bytes: number;
}

/** Rows of loads: token, requests in progress. */
export const LOAD_ROWS: RowShape = { numbers: 2, bytes: 6 };

/** Calls back with the token and the other numbers of each row; one that is cut short is left out. */
export function eachRow(
  packed: PackedRows,
  { numbers }: RowShape,
  visit: (token: number, values: readonly number[]) => void,
): void {
  for (let at = 0; at + numbers <= packed.length; at += numbers) {
    visit(packed[at] ?? 0, packed.slice(at + 1, at + numbers));
  }
}

/** @returns true where two tables are equal, row by row */
export function hasSameRows(one: PackedRows, other: PackedRows): boolean {
  return one.length === other.length && one.every((value, index) => value === other[index]);
}
