/** @file The 32-bit token that identifies a back end in packets of established flows and in load tables. */
import { Buffer } from 'node:buffer';
import type { BackendRecord } from './backend-record.js';
import { startOf } from './backend-start.js';

const TOKEN_BYTES = 4;

const UINT32_VALUES = 2 ** 32;
/** Odd, so that multiplication modulo 2^32 is one-to-one and nearby start times get different tokens. */
const TIME_MULTIPLIER = 0x9e3779b1;

/**
 * @returns the token of a start, the same on every machine; never 0, which stands for no back end. Each start has its
 *   own, so that packets of flows of an earlier start are recognized.
 */
export function tokenOf({
  id,
  instanceNumber,
}: Pick<BackendRecord, 'id' | 'instanceNumber'>): number {
  const { startedAtMs } = startOf(id);
  const folded = foldInstanceNumber(instanceNumber);
  return startedAtMs === undefined ? folded : nonZero(folded ^ mixStartTime(startedAtMs));
}

/**
 * @param instanceNumber 16 hexadecimal digits
 * @returns the token without the start, as used by balancers of versions that have no start IDs; never 0
 */
export function plainTokenOf({ instanceNumber }: Pick<BackendRecord, 'instanceNumber'>): number {
  return foldInstanceNumber(instanceNumber);
}

function foldInstanceNumber(instanceNumber: string): number {
  const bytes = Buffer.from(instanceNumber, 'hex');
  return nonZero(bytes.readUInt32BE(0) ^ bytes.readUInt32BE(TOKEN_BYTES));
}

function mixStartTime(startedAtMs: number): number {
  const low = startedAtMs % UINT32_VALUES;
  const high = Math.floor(startedAtMs / UINT32_VALUES);
  return Math.imul(low, TIME_MULTIPLIER) ^ high;
}

function nonZero(token: number): number {
  const unsigned = token >>> 0;
  return unsigned === 0 ? 1 : unsigned;
}
