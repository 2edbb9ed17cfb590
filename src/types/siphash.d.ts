/** @file Types of the siphash package, which ships none. */
declare module 'siphash' {
  /** A 64-bit hash in two 32-bit halves. */
  interface SipHash {
    readonly h: number;
    readonly l: number;
  }
  const siphash: {
    /** SipHash-2-4 of the message under a key of four 32-bit words. */
    hash(key: Uint32Array, message: Uint8Array): SipHash;
  };
  export default siphash;
}
