/**
 * @file Claims on opens that no balancer remembers. Two balancers may look up copies of one open at the same
 * time and would both place it, so each holder, and the asking balancer itself, grants a claim to the first
 * one only. Copies are some 200 ms apart, so this happens when a balancer reads an old copy late, after a pause.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { FlowKey } from '../ingress/packet-view.js';
import { createExpiringMap } from '../../shared/common/expiring-map.js';

/** Claims on opens that are about to be placed. */
interface OpenClaims {
  /**
   * Claims an open for a balancer; a repeated claim is not renewed.
   * @param claimant peer address of the asking balancer
   * @returns false while another balancer holds a claim
   */
  claim(key: FlowKey, claimant: Address, nowMs: number): boolean;
  /** @returns the peer address of the balancer that holds a claim; undefined if none does */
  claimantOf(key: FlowKey, nowMs: number): Address | undefined;
}

interface Claim {
  readonly claimant: Address;
  readonly atMs: number;
}

/**
 * Longer than the wait for holders (30 ms) plus a round trip, shorter than the first retransmission timeout
 * of clients (about 200 ms), so that no later copy is delayed.
 */
export const CLAIM_LIFETIME_MS = 100;
/** Bounds the memory; further opens of the same period are placed without a claim. */
const MAX_CLAIMS = 20_000;

/** @returns an empty set of claims */
export function createOpenClaims(): OpenClaims {
  const claims = createExpiringMap<FlowKey, Claim>({
    periodMs: CLAIM_LIFETIME_MS,
    maxEntries: MAX_CLAIMS,
  });

  return { claim, claimantOf };

  function claim(key: FlowKey, claimant: Address, nowMs: number): boolean {
    const currentClaimant = claimantOf(key, nowMs);
    if (currentClaimant !== undefined) {
      return formatAddress(currentClaimant) === formatAddress(claimant);
    }
    claims.set(key, { claimant, atMs: nowMs }, nowMs);
    return true;
  }

  function claimantOf(key: FlowKey, nowMs: number): Address | undefined {
    const known = claims.get(key, nowMs);
    return known !== undefined && nowMs - known.atMs < CLAIM_LIFETIME_MS
      ? known.claimant
      : undefined;
  }
}
