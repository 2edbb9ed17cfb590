/**
 * @file The 32-bit token by which packets of established flows, and tables of the load exchange, name a back end.
 */
import { Buffer } from 'node:buffer';
import type { BackendRecord } from './backend-record.js';
import { startOf } from './backend-start.js';

const TOKEN_BYTES = 4;

const UINT32_VALUES = 2 ** 32;
/** Odd, so that times of starts that differ in their lower 32 bits, 49 days in milliseconds, give tokens that differ. */
const TIME_MULTIPLIER = 0x9e3779b1;

/**
 * @returns the token of a start, the same on every machine; never 0, which stands for no back end. Starts of one back
 *   end have different ones, so that a packet of a flow of the start before is known as such.
 */
export function tokenOf({
  id,
  instanceNumber,
}: Pick<BackendRecord, 'id' | 'instanceNumber'>): number {
  const { startedAtMs } = startOf(id);
  const plain = foldedNumber(instanceNumber);
  return startedAtMs === undefined ? plain : nonZero(plain ^ mixedTime(startedAtMs));
}

/**
 * @param instanceNumber 16 hexadecimal digits
 * @returns the token of a back end without its start, as balancers that know of no starts make it; never 0
 */
export function plainTokenOf({ instanceNumber }: Pick<BackendRecord, 'instanceNumber'>): number {
  return foldedNumber(instanceNumber);
}

function foldedNumber(instanceNumber: string): number {
  const bytes = Buffer.from(instanceNumber, 'hex');
  return nonZero(bytes.readUInt32BE(0) ^ bytes.readUInt32BE(TOKEN_BYTES));
}

function mixedTime(startedAtMs: number): number {
  const low = startedAtMs % UINT32_VALUES;
  const high = Math.floor(startedAtMs / UINT32_VALUES);
  return Math.imul(low, TIME_MULTIPLIER) ^ high;
}

function nonZero(token: number): number {
  const unsigned = token >>> 0;
  return unsigned === 0 ? 1 : unsigned;
}
