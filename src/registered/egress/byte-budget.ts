/**
 * @file A token bucket in bytes: what may leave now, at the rate of a link, with a bounded burst.
 */

/** What may leave. */
export interface ByteBudget {
  /** @returns true where a packet may leave now; its bytes may exceed what is left, and are owed then */
  isOpen(nowMs: number): boolean;
  /** Takes bytes off, also below nothing. */
  spend(bytes: number, nowMs: number): void;
  /** @returns time until so many bytes have been earned, in milliseconds; at most a burst */
  waitMs(bytes: number, nowMs: number): number;
}

/** What may leave at once, in bytes: a few full packets, so that timers are few and no queue on the way fills. */
const BURST_BYTES = 5_000;

/**
 * @param rateBytesPerMs what is earned
 * @returns a budget with a whole burst
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
    const wantedBytes = Math.min(BURST_BYTES, bytes);
    return Math.max(1, Math.ceil((wantedBytes - creditBytes) / rateBytesPerMs));
  }

  function earn(nowMs: number): void {
    creditBytes = Math.min(BURST_BYTES, creditBytes + (nowMs - creditAtMs) * rateBytesPerMs);
    creditAtMs = nowMs;
  }
}
