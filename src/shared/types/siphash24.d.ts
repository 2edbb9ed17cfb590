/** @file Types of the siphash24 package, which ships none. */
declare module 'siphash24' {
  /** Writes SipHash-2-4 of the message under a key of 16 bytes to `hash`, little-endian. */
  export default function siphash24(
    message: Uint8Array,
    key: Uint8Array,
    hash: Uint8Array,
    noArgumentChecks?: boolean,
  ): Uint8Array;
}
