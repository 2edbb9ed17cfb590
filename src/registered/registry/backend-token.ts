/**
 * @file The 32-bit token by which packets of established flows, and tables of the load exchange, name a back end.
 */
import { Buffer } from 'node:buffer';

const TOKEN_BYTES = 4;

/**
 * @param instanceNumber 16 hexadecimal digits
 * @returns the token of a back end, the same on every machine; never 0, which stands for no back end
 */
export function tokenOf(instanceNumber: string): number {
  const bytes = Buffer.from(instanceNumber, 'hex');
  const folded = (bytes.readUInt32BE(0) ^ bytes.readUInt32BE(TOKEN_BYTES)) >>> 0;
  return folded === 0 ? 1 : folded;
}
