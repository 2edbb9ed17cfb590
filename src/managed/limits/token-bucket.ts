/**
 * @file A token bucket: limits events to a rate per second, with bursts up to its capacity.
 */

const MS_PER_SECOND = 1_000;

/** State of a token bucket; tokens may be fractional. */
export interface TokenBucket {
  tokens: number;
  /** Time of the last refill, on the clock of the step. */
  refilledAtMs: number;
}

/** Refill rate and size of a bucket. */
export interface TokenRate {
  readonly tokensPerSecond: number;
  /** Maximum number of tokens. */
  readonly capacity: number;
}

/**
 * @returns a full bucket
 */
export function createTokenBucket({ capacity }: TokenRate, nowMs: number): TokenBucket {
  return { tokens: capacity, refilledAtMs: nowMs };
}

/**
 * Adds the tokens earned since the last refill.
 * @returns tokens that exceeded the capacity
 */
export function refillBucket(bucket: TokenBucket, rate: TokenRate, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  const tokens = bucket.tokens + (elapsedMs * rate.tokensPerSecond) / MS_PER_SECOND;
  bucket.tokens = Math.min(rate.capacity, tokens);
  bucket.refilledAtMs = Math.max(bucket.refilledAtMs, nowMs);
  return tokens - bucket.tokens;
}

/**
 * Takes one token. The bucket must have been refilled first.
 * @returns false if there is none
 */
export function takeToken(bucket: TokenBucket): boolean {
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

/**
 * @returns time from the last refill until the bucket holds a whole token, in milliseconds
 */
export function msUntilNextToken(bucket: TokenBucket, { tokensPerSecond }: TokenRate): number {
  const deficit = Math.max(0, 1 - bucket.tokens);
  return tokensPerSecond > 0 ? (deficit * MS_PER_SECOND) / tokensPerSecond : Infinity;
}
