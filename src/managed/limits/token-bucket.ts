/**
 * @file A token bucket: a rate of events a second, with bursts up to its capacity. Times in milliseconds.
 */

const MS_PER_SECOND = 1_000;

/** A token bucket. */
export interface TokenBucket {
  tokens: number;
  /** When it was last filled, on the clock of the step, in milliseconds. */
  filledAtMs: number;
}

/** How fast a bucket fills, and how much it holds. */
export interface TokenRate {
  readonly tokensPerSecond: number;
  /** Most tokens that it holds. */
  readonly capacity: number;
}

/**
 * @returns a full bucket
 */
export function createTokenBucket({ capacity }: TokenRate, nowMs: number): TokenBucket {
  return { tokens: capacity, filledAtMs: nowMs };
}

/**
 * Fills a bucket up to now.
 * @returns the tokens that it had no room for
 */
export function fillBucket(bucket: TokenBucket, rate: TokenRate, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - bucket.filledAtMs);
  const tokens = bucket.tokens + (elapsedMs * rate.tokensPerSecond) / MS_PER_SECOND;
  bucket.tokens = Math.min(rate.capacity, tokens);
  bucket.filledAtMs = Math.max(bucket.filledAtMs, nowMs);
  return tokens - bucket.tokens;
}

/**
 * Takes one token from a filled bucket.
 * @returns false where there is none
 */
export function takeToken(bucket: TokenBucket): boolean {
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

/**
 * @returns when the bucket has its next token, in milliseconds from its last filling on
 */
export function nextTokenInMs(bucket: TokenBucket, { tokensPerSecond }: TokenRate): number {
  const missing = Math.max(0, 1 - bucket.tokens);
  return tokensPerSecond > 0 ? (missing * MS_PER_SECOND) / tokensPerSecond : Infinity;
}
