/**
 * @file IDs of services and back ends. Each operator has a block of the 32-bit IDs and counts through it once: no ID is used
 * again, and an ID reveals nothing of another operator's activity.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** Size of a block: 256 blocks fill the 32 bits. */
const IDS_PER_OWNER = 2 ** 24;
/** How many operators there can be. */
export const MAX_OPERATORS = 256;

/**
 * @param ownerNumber number of the operator's block
 * @param number counts from 1
 * @returns the ID, or `internal` once the block is used up
 */
export function idInBlock(ownerNumber: number, number: number): Result<number, AmberliftError> {
  if (number >= IDS_PER_OWNER) {
    return err(amberliftError('internal', 'Your block of IDs is used up.'));
  }
  return ok(ownerNumber * IDS_PER_OWNER + number);
}
