/**
 * @file The hash by which stand-in routers spread flows.
 */

const MULTIPLIER = 31;

/** @returns a number from 0 below 2^32, the same for the same flow */
export function hashOfFlow(flow: string): number {
  let hash = 0;
  for (const letter of flow) {
    hash = (Math.imul(hash, MULTIPLIER) + (letter.codePointAt(0) ?? 0)) >>> 0;
  }
  return hash;
}
