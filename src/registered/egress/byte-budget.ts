/**
 * @file May a packet leave now?
 *
 * Inputs: the rate of the link in bytes a millisecond, and what has left so far in bytes. A token bucket: credit grows at the
 * rate up to a burst, and a packet may leave while there is any. Its bytes may exceed the credit and are owed then, so
 * that a packet is never split and the rate holds on average.
 */

/** The credit of one link. */
export interface ByteBudget {
  /** @returns true where a packet may leave now; its bytes may exceed what is left, and are owed then */
  isOpen(nowMs: number): boolean;
  /** Subtracts bytes, also below zero. */
  spend(bytes: number, nowMs: number): void;
  /** @returns time until so many bytes have been earned, in milliseconds; at most a burst */
  waitMs(bytes: number, nowMs: number): number;
}

/**
 * What may leave at once, in bytes: four full packets, so that there is one timer for some four packets and no queue on the
 * way fills (docs/design/links.md). Not measured against other sizes.
 */
const BURST_BYTES = 5_000;

/**
 * @param rateBytesPerMs what is earned
 * @returns a budget that holds a whole burst
 */
export function createByteBudget(rateBytesPerMs: number): ByteBudget {
  let creditBytes = BURST_BYTES;
  let creditAtMs = 0;

  return { isOpen, spend, waitMs };

  function isOpen(nowMs: number): boolean {
    earn(nowMs);
    return creditBytes > 0;
  }

  function spend(bytes: number, nowMs: number): void {
    earn(nowMs);
    creditBytes -= bytes;
  }

  function waitMs(bytes: number, nowMs: number): number {
    earn(nowMs);
    const neededBytes = Math.min(BURST_BYTES, bytes);
    return Math.max(1, Math.ceil((neededBytes - creditBytes) / rateBytesPerMs));
  }

  function earn(nowMs: number): void {
    creditBytes = Math.min(BURST_BYTES, creditBytes + (nowMs - creditAtMs) * rateBytesPerMs);
    creditAtMs = nowMs;
  }
}
