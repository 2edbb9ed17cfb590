/**
 * @file The hash by which simulated routers distribute flows over balancers.
 */

const MULTIPLIER = 31;

/** @returns a deterministic 32-bit unsigned hash of the flow */
export function hashOfFlow(flow: string): number {
  let hash = 0;
  for (const letter of flow) {
    hash = (Math.imul(hash, MULTIPLIER) + (letter.codePointAt(0) ?? 0)) >>> 0;
  }
  return hash;
}
