/**
 * @file Which balancer may place an open that nobody remembers. Two that ask about copies of one open at the same
 * moment would both hear nothing and both place it, each at a back end of its own; the holders of the open let
 * the one that asks first go on and tell the other.
 *
 * Copies of one open are some 200 ms apart, so this takes a balancer that reads an old copy late, after it stood
 * still, while a newer one has just reached another.
 */
import type { FlowKey } from './packet-view.js';
import { createPeriodMap } from './period-map.js';

/** Who has asked about which open lately. */
export interface OpenClaims {
  /**
   * @param asker address of the balancer that asks
   * @returns false where another one asked shortly before
   */
  claim(key: FlowKey, asker: string, nowMs: number): boolean;
}

interface Claim {
  readonly asker: string;
  readonly atMs: number;
}

/** The wait for holders, the ways of two datagrams and a busy turn; far less than the time between two copies. */
const CLAIM_MS = 100;
/** Opens beyond this number in one period are not claimed. */
const MAX_CLAIMS = 20_000;

/** @returns claims without any open */
export function createOpenClaims(): OpenClaims {
  const claims = createPeriodMap<FlowKey, Claim>({ periodMs: CLAIM_MS, maxEntries: MAX_CLAIMS });

  return { claim };

  function claim(key: FlowKey, asker: string, nowMs: number): boolean {
    const known = claims.get(key, nowMs);
    if (known !== undefined && nowMs - known.atMs < CLAIM_MS) {
      return known.asker === asker;
    }
    claims.set(key, { asker, atMs: nowMs }, nowMs);
    return true;
  }
}
