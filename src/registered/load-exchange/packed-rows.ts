/**
 * @file The wire format of load tables: a flat list of numbers, in which each row begins with the 32-bit token of its
 * back end.
 */

/** Concatenated rows; `RowShape.numbers` is the length of each. */
export type PackedRows = readonly number[];

/** Length of a row, in numbers and in bytes. */
export interface RowShape {
  /** Numbers per row, including the token. */
  readonly numbers: number;
  /** Approximate size on the wire: MessagePack uses five bytes for a token, one to three for a small number. */
  readonly bytes: number;
}

/** Rows of the load table; each: token, requests in progress. */
export const LOAD_ROWS: RowShape = { numbers: 2, bytes: 6 };

/** Calls `visit` with the token and the other numbers of each row; skips an incomplete last row. */
export function eachRow(
  packed: PackedRows,
  { numbers }: RowShape,
  visit: (token: number, values: readonly number[]) => void,
): void {
  for (let at = 0; at + numbers <= packed.length; at += numbers) {
    visit(packed[at] ?? 0, packed.slice(at + 1, at + numbers));
  }
}

/** @returns true if two tables have the same rows in the same order */
export function hasSameRows(one: PackedRows, other: PackedRows): boolean {
  return one.length === other.length && one.every((value, index) => value === other[index]);
}
