/**
 * @file Tables of numbers by back end, as processes tell them to each other several times a second: a flat list in
 * which each row begins with the 32-bit token of the back end.
 */

/** Rows one after the other. */
export type PackedRows = readonly number[];

/** What a row of a table is made of. */
export interface RowShape {
  /** How many numbers stand for one back end, its token included. */
  readonly numbers: number;
  /** What they take on a link, about: a token takes five bytes, a number one to three. */
  readonly bytes: number;
}

/** Rows of loads: token, requests in progress. */
export const LOAD_ROWS: RowShape = { numbers: 2, bytes: 6 };

/** Calls back with the numbers of each row; one that is cut short is passed over. */
export function eachRow(
  packed: PackedRows,
  { numbers }: RowShape,
  take: (token: number, values: readonly number[]) => void,
): void {
  for (let at = 0; at + numbers <= packed.length; at += numbers) {
    take(packed[at] ?? 0, packed.slice(at + 1, at + numbers));
  }
}

/** @returns true where two lists say the same */
export function isSameRows(one: PackedRows, other: PackedRows): boolean {
  return one.length === other.length && one.every((value, index) => value === other[index]);
}
