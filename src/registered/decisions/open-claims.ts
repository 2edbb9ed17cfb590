/**
 * @file Which balancer may place an open that nobody remembers. Two that ask about copies of one open at the same
 * moment would both hear nothing and both place it, each at a back end of its own, and the back end that the
 * client does not choose resets the flow. So the holders of an open let the one that asks first go on and tell the
 * other; and one that hears of a placement tells whoever asked shortly before.
 *
 * Copies of one open are some 200 ms apart, so this takes a balancer that reads an old copy late, after it stood
 * still or had no processor, while a newer one has just reached another.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { FlowKey } from '../ingress/packet-view.js';
import { createPeriodMap } from '../../shared/common/period-map.js';

/** Who has asked about which open lately. */
export interface OpenClaims {
  /**
   * @param asker where the balancer that asks is answered
   * @returns false where another one asked shortly before
   */
  claim(key: FlowKey, asker: Address, nowMs: number): boolean;
  /** @returns who asked about an open shortly before, and may still be waiting */
  askerOf(key: FlowKey, nowMs: number): Address | undefined;
}

interface Claim {
  readonly asker: Address;
  readonly atMs: number;
}

/**
 * A claim holds for so long, in milliseconds: the wait for holders, the ways of two datagrams and a busy turn; half
 * of the time between two copies, so that it holds up no later one.
 */
export const CLAIM_MS = 100;
/** Opens beyond this number in one period are not claimed. */
const MAX_CLAIMS = 20_000;

/** @returns claims without any open */
export function createOpenClaims(): OpenClaims {
  const claims = createPeriodMap<FlowKey, Claim>({ periodMs: CLAIM_MS, maxEntries: MAX_CLAIMS });

  return { claim, askerOf };

  function claim(key: FlowKey, asker: Address, nowMs: number): boolean {
    const before = askerOf(key, nowMs);
    if (before !== undefined) {
      return formatAddress(before) === formatAddress(asker);
    }
    claims.set(key, { asker, atMs: nowMs }, nowMs);
    return true;
  }

  function askerOf(key: FlowKey, nowMs: number): Address | undefined {
    const known = claims.get(key, nowMs);
    return known !== undefined && nowMs - known.atMs < CLAIM_MS ? known.asker : undefined;
  }
}
