/**
 * @file SipHash-2-4 (Aumasson and Bernstein, 2012) with a result of 64 bits. Each 64-bit word is kept
 * as two 32-bit halves in local variables, and the message is read where it lies, so that a hash
 * allocates nothing. docs/design/data-path.md has the measurement against libraries.
 */

/** A key of 128 bits as four 32-bit words, the lowest first. */
export interface SipHashKey {
  readonly word0: number;
  readonly word1: number;
  readonly word2: number;
  readonly word3: number;
}

/** The two halves of a hash, as unsigned 32-bit numbers. */
export interface SipHashValue {
  high: number;
  low: number;
}

const BLOCK_BYTES = 8;
const COMPRESSION_ROUNDS = 2;
const FINALIZATION_ROUNDS = 4;
const FINALIZATION_MARK = 0xff;

/**
 * Hashes `length` bytes of `bytes` from `start` on.
 * @param hash takes the hash
 */
export function sipHash(
  key: SipHashKey,
  bytes: Uint8Array,
  start: number,
  length: number,
  hash: SipHashValue,
): void {
  let low0 = key.word0 ^ 0x70736575;
  let high0 = key.word1 ^ 0x736f6d65;
  let low1 = key.word2 ^ 0x6e646f6d;
  let high1 = key.word3 ^ 0x646f7261;
  let low2 = key.word0 ^ 0x6e657261;
  let high2 = key.word1 ^ 0x6c796765;
  let low3 = key.word2 ^ 0x79746573;
  let high3 = key.word3 ^ 0x74656462;
  const fullBlocks = Math.floor(length / BLOCK_BYTES);
  // The block after the full ones holds what is left, with the length in its highest byte.
  for (let block = 0; block <= fullBlocks + 1; block += 1) {
    const isFinalization = block > fullBlocks;
    const at = start + block * BLOCK_BYTES;
    const left = start + length - at;
    const messageLow = isFinalization ? 0 : wordAt(bytes, at, left);
    const messageHigh = isFinalization
      ? 0
      : wordAt(bytes, at + 4, left - 4) | (block === fullBlocks ? length << 24 : 0);
    low2 ^= isFinalization ? FINALIZATION_MARK : 0;
    low3 ^= messageLow;
    high3 ^= messageHigh;
    const rounds = isFinalization ? FINALIZATION_ROUNDS : COMPRESSION_ROUNDS;
    for (let round = 0; round < rounds; round += 1) {
      let sum = (low0 + low1) | 0;
      high0 = (high0 + high1 + carry(sum, low1)) | 0;
      low0 = sum;
      let turned = (low1 << 13) | (high1 >>> 19);
      high1 = ((high1 << 13) | (low1 >>> 19)) ^ high0;
      low1 = turned ^ low0;
      sum = (low2 + low3) | 0;
      high2 = (high2 + high3 + carry(sum, low3)) | 0;
      low2 = sum;
      turned = (low3 << 16) | (high3 >>> 16);
      high3 = ((high3 << 16) | (low3 >>> 16)) ^ high2;
      low3 = turned ^ low2;
      sum = (high0 + low3) | 0;
      high0 = (low0 + high3 + carry(sum, low3)) | 0;
      low0 = sum;
      turned = (low3 << 21) | (high3 >>> 11);
      high3 = ((high3 << 21) | (low3 >>> 11)) ^ high0;
      low3 = turned ^ low0;
      sum = (low2 + low1) | 0;
      high2 = (high2 + high1 + carry(sum, low1)) | 0;
      low2 = sum;
      turned = (low1 << 17) | (high1 >>> 15);
      high1 = ((high1 << 17) | (low1 >>> 15)) ^ high2;
      low1 = turned ^ low2;
      turned = low2;
      low2 = high2;
      high2 = turned;
    }
    low0 ^= messageLow;
    high0 ^= messageHigh;
  }
  hash.low = (low0 ^ low1 ^ low2 ^ low3) >>> 0;
  hash.high = (high0 ^ high1 ^ high2 ^ high3) >>> 0;
}

/** @returns 1 where a 32-bit sum wrapped around */
function carry(sum: number, addend: number): number {
  return sum >>> 0 < addend >>> 0 ? 1 : 0;
}

/** @returns up to four bytes as a little-endian word; bytes beyond `left` count as 0 */
function wordAt(bytes: Uint8Array, at: number, left: number): number {
  if (left >= 4) {
    return (
      (bytes[at] ?? 0) |
      ((bytes[at + 1] ?? 0) << 8) |
      ((bytes[at + 2] ?? 0) << 16) |
      ((bytes[at + 3] ?? 0) << 24)
    );
  }
  let word = 0;
  for (let index = 0; index < left; index += 1) {
    word |= (bytes[at + index] ?? 0) << (8 * index);
  }
  return word;
}
