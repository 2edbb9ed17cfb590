/**
 * @file 64-bit keyed hashes: SipHash-2-4, as implemented in WebAssembly by the siphash24 package.
 */
import siphash24 from 'siphash24';

/** Size of a hash. */
export const KEYED_HASH_BYTES = 8;
/** Size of a key. */
export const KEYED_HASH_KEY_BYTES = 16;

const NO_ARGUMENT_CHECKS = true;

/**
 * @param key 16 bytes
 * @param hash output buffer of 8 bytes; a new one by default
 * @returns `hash`
 */
export function keyedHash(
  key: Uint8Array,
  message: Uint8Array,
  hash: Uint8Array = new Uint8Array(KEYED_HASH_BYTES),
): Uint8Array {
  return siphash24(message, key, hash, NO_ARGUMENT_CHECKS);
}
