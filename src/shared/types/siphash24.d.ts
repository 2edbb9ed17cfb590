/** @file Type declarations for the siphash24 package, which ships none. */
declare module 'siphash24' {
  /** Writes the SipHash-2-4 of the message under a 16-byte key to `hash`, little-endian. */
  export default function siphash24(
    message: Uint8Array,
    key: Uint8Array,
    hash: Uint8Array,
    noArgumentChecks?: boolean,
  ): Uint8Array;
}
