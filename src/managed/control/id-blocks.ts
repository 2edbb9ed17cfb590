/**
 * @file Allocation of 32-bit service and back end IDs. Each operator has a block of IDs, so that an ID reveals nothing
 * about the activity of other operators. IDs are never reused.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** 256 blocks of this size fill the 32-bit range. */
const IDS_PER_OWNER = 2 ** 24;
/** Maximum number of operators, one ID block each. */
export const MAX_OPERATORS = 256;

/**
 * @param ownerNumber number of the operator's ID block, from 0
 * @param sequenceNumber number of the ID in the block, from 1
 * @returns the ID, or `internal` if the block is exhausted
 */
export function idInBlock(
  ownerNumber: number,
  sequenceNumber: number,
): Result<number, AmberliftError> {
  if (sequenceNumber >= IDS_PER_OWNER) {
    return err(amberliftError('internal', 'Your block of IDs is used up.'));
  }
  return ok(ownerNumber * IDS_PER_OWNER + sequenceNumber);
}
