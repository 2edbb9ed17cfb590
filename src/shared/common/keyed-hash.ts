/**
 * @file Keyed hashes of 64 bits: SipHash-2-4 by the siphash24 package, which runs it as WebAssembly.
 * docs/design/data-path.md has the measurement against other ways.
 */
import siphash24 from 'siphash24';

/** Bytes of a hash. */
export const KEYED_HASH_BYTES = 8;
/** Bytes of a key. */
export const KEYED_HASH_KEY_BYTES = 16;

const NO_ARGUMENT_CHECKS = true;

/**
 * @param key 16 bytes
 * @param hash where to write the hash, 8 bytes; a new array where it is not given
 * @returns `hash`
 */
export function keyedHash(
  key: Uint8Array,
  message: Uint8Array,
  hash: Uint8Array = new Uint8Array(KEYED_HASH_BYTES),
): Uint8Array {
  return siphash24(message, key, hash, NO_ARGUMENT_CHECKS);
}
