/**
 * @file May this owner have another open this second? Each owner of services has a bucket of its own, filled with an
 * equal part of the balancer's rate. What a full bucket has no room for runs over into a spare bucket, from which
 * every owner may take. So a surge may use what is idle, and never what is in another owner's bucket.
 *
 * Inputs: all owners of services in force, the rate of the balancer (`maxOpensPerSecond`) and the time in
 * milliseconds. Returns the time until the next token in milliseconds where the open is refused. Owns the buckets.
 */
import {
  createTokenBucket,
  fillBucket,
  nextTokenInMs,
  takeToken,
  type TokenBucket,
  type TokenRate,
} from './token-bucket.js';

/** Size of a bucket, in seconds of its rate. Not measured; too small if owners below their rate see refusals. */
const BURST_SECONDS = 1;

/** The shares of all owners. */
export interface OwnerShares {
  /** By the owner's name. */
  readonly buckets: Map<string, TokenBucket>;
  readonly spare: TokenBucket;
}

/**
 * @returns shares of no owners
 */
export function createOwnerShares(): OwnerShares {
  return { buckets: new Map(), spare: { tokens: 0, filledAtMs: 0 } };
}

/**
 * Takes one open from an owner's share, or from what the others leave unused.
 * @param owners all owners, this one included
 * @returns undefined where it was taken, else when to come back, in milliseconds from now on
 */
export function takeFromShare(
  shares: OwnerShares,
  owner: string,
  owners: ReadonlySet<string>,
  opensPerSecond: number,
  nowMs: number,
): number | undefined {
  const rate = equalRate(opensPerSecond, owners.size);
  forgetFormerOwners(shares, owners);
  fillAll(shares, owners, rate, nowMs);
  const bucket = shares.buckets.get(owner) ?? createTokenBucket(rate, nowMs);
  shares.buckets.set(owner, bucket);
  if (takeToken(bucket) || takeToken(shares.spare)) {
    return undefined;
  }
  return nextTokenInMs(bucket, rate);
}

function equalRate(opensPerSecond: number, ownerCount: number): TokenRate {
  const tokensPerSecond = opensPerSecond / Math.max(1, ownerCount);
  return { tokensPerSecond, capacity: Math.max(1, tokensPerSecond * BURST_SECONDS) };
}

function forgetFormerOwners({ buckets }: OwnerShares, owners: ReadonlySet<string>): void {
  if (buckets.size <= owners.size) {
    return;
  }
  for (const owner of buckets.keys()) {
    if (!owners.has(owner)) {
      buckets.delete(owner);
    }
  }
}

function fillAll(
  { buckets, spare }: OwnerShares,
  owners: ReadonlySet<string>,
  rate: TokenRate,
  nowMs: number,
): void {
  for (const owner of owners) {
    const bucket = buckets.get(owner);
    if (bucket === undefined) {
      buckets.set(owner, createTokenBucket(rate, nowMs));
    } else if (bucket.filledAtMs < nowMs) {
      const unused = fillBucket(bucket, rate, nowMs);
      spare.tokens = Math.min(rate.capacity, spare.tokens + unused);
    }
  }
}
