/**
 * @file The schema of load tables in messages.
 */
import * as z from 'zod/mini';
import { indexSchema } from '../../../shared/consensus/message-schemas.js';
import type { RowShape } from '../../load-exchange/packed-rows.js';

/** Rejects oversized tables of faulty senders. */
const MAX_ROWS = 20_000;

/**
 * @param number schema of each number
 * @returns the schema of a flat list of complete rows
 */
export function packedRowsSchema(
  { numbers }: RowShape,
  number: z.ZodMiniType<number> = indexSchema,
) {
  return z.array(number).check(
    z.maxLength(MAX_ROWS * numbers),
    z.refine((packed) => packed.length % numbers === 0, 'A row is incomplete.'),
  );
}
