/**
 * @file Which balancer may place an open that nobody remembers?
 *
 * - Inputs: the flow, the balancer that asks (its peer address), the time in milliseconds. Each holder of an open, and
 *   the balancer that asks itself, keep claims of their own.
 * - Returns: true for the one that asks first, for as long as its claim lasts.
 * - Reason: two balancers that ask about copies of one open at the same moment would both get no reply and both place
 *   it, each at another back end, and the one that the client does not choose resets the flow. So a holder refuses the
 *   second one (`open-claimed`), and one that learns of a placement sends it to the claimant (`open-found`). Copies of
 *   one open are some 200 ms apart, so this happens where a balancer reads an old copy late, after it stood still or had
 *   no processor, while a newer one has just reached another balancer.
 * - Measured: of 39 simulated seeds with balancers that stand still 10 broke flows without it, none with it; of some
 *   72,000 opens 33 were left to another balancer.
 *
 * The line `dropped reason=claimed-elsewhere` is the open of the balancer that asked second.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { FlowKey } from '../ingress/packet-view.js';
import { createPeriodMap } from '../../shared/common/period-map.js';

/** Claims of opens that are about to be placed. */
interface OpenClaims {
  /**
   * Claims an open for a balancer; a claim of its own is not renewed.
   * @param asker peer address of the balancer that asks
   * @returns false while another one holds a claim
   */
  claim(key: FlowKey, asker: Address, nowMs: number): boolean;
  /** @returns the peer address of the balancer that holds a claim, and may still be waiting */
  askerOf(key: FlowKey, nowMs: number): Address | undefined;
}

interface Claim {
  readonly asker: Address;
  readonly atMs: number;
}

/**
 * A claim holds for so long, in milliseconds: the wait for holders (30 ms), the way of two datagrams and a busy turn;
 * half of the time between two copies, so that it delays no later one. Not measured by itself; too short if flows break
 * beside balancers that stand still, too long if opens are left to a balancer that has crashed.
 */
export const CLAIM_MS = 100;
/** Opens beyond this number in one period are placed without a claim; bounds the memory. */
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
