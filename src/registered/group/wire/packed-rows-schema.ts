/**
 * @file The schema of a table of the load exchange in a message.
 */
import * as z from 'zod/mini';
import { indexSchema } from '../../../shared/consensus/message-schemas.js';
import type { RowShape } from '../../load-exchange/packed-rows.js';

/** Room for 20,000 back ends, against faulty senders. */
const MAX_ROWS = 20_000;

/** @returns the schema of a flat list of rows, none of which is cut short */
export function packedRowsSchema({ numbers }: RowShape) {
  return z.array(indexSchema).check(
    z.maxLength(MAX_ROWS * numbers),
    z.refine((packed) => packed.length % numbers === 0, 'An entry is cut short.'),
  );
}
