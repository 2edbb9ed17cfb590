/**
 * @file Divides a balancer's open rate fairly among the owners of services. Each owner has a token bucket with an equal
 * part of the rate; tokens that overflow go to a spare bucket that all owners may use.
 */
import {
  createTokenBucket,
  refillBucket,
  msUntilNextToken,
  takeToken,
  type TokenBucket,
  type TokenRate,
} from './token-bucket.js';

/** Capacity of a bucket, in seconds at its rate. */
const BURST_SECONDS = 1;

/** Token buckets of all owners. */
export interface OwnerShares {
  /** By owner name. */
  readonly buckets: Map<string, TokenBucket>;
  readonly spare: TokenBucket;
}

/**
 * @returns no owner buckets and an empty spare bucket
 */
export function createOwnerShares(): OwnerShares {
  return { buckets: new Map(), spare: { tokens: 0, refilledAtMs: 0 } };
}

/**
 * Takes one open from the owner's bucket or, if that is empty, from the spare bucket.
 * @param owners all owners, including this one
 * @returns undefined if one was taken, else the time until the owner's next token in milliseconds
 */
export function takeOpenFromShare(
  shares: OwnerShares,
  owner: string,
  owners: ReadonlySet<string>,
  opensPerSecond: number,
  nowMs: number,
): number | undefined {
  const rate = equalRate(opensPerSecond, owners.size);
  removeFormerOwners(shares, owners);
  refillAll(shares, owners, rate, nowMs);
  const bucket = shares.buckets.get(owner) ?? createTokenBucket(rate, nowMs);
  shares.buckets.set(owner, bucket);
  if (takeToken(bucket) || takeToken(shares.spare)) {
    return undefined;
  }
  return msUntilNextToken(bucket, rate);
}

function equalRate(opensPerSecond: number, ownerCount: number): TokenRate {
  const tokensPerSecond = opensPerSecond / Math.max(1, ownerCount);
  return { tokensPerSecond, capacity: Math.max(1, tokensPerSecond * BURST_SECONDS) };
}

function removeFormerOwners({ buckets }: OwnerShares, owners: ReadonlySet<string>): void {
  if (buckets.size <= owners.size) {
    return;
  }
  for (const owner of buckets.keys()) {
    if (!owners.has(owner)) {
      buckets.delete(owner);
    }
  }
}

function refillAll(
  { buckets, spare }: OwnerShares,
  owners: ReadonlySet<string>,
  rate: TokenRate,
  nowMs: number,
): void {
  for (const owner of owners) {
    const bucket = buckets.get(owner);
    if (bucket === undefined) {
      buckets.set(owner, createTokenBucket(rate, nowMs));
    } else if (bucket.refilledAtMs < nowMs) {
      const overflow = refillBucket(bucket, rate, nowMs);
      spare.tokens = Math.min(rate.capacity, spare.tokens + overflow);
    }
  }
}
