/**
 * @file Token bucket for the rate of a link, in bytes. A packet may leave while there is any credit; the credit may
 * become negative, so that the rate holds on average.
 */

/** Token bucket of one link. */
export interface ByteBudget {
  /** @returns true if a packet may leave now, even if it is larger than the credit */
  hasCredit(nowMs: number): boolean;
  /** Subtracts bytes; the credit may become negative. */
  spend(bytes: number, nowMs: number): void;
  /** @returns time in milliseconds until the credit reaches the given bytes, or a full burst if that is less */
  waitMs(bytes: number, nowMs: number): number;
}

/** Four full packets: one timer per four packets, without filling queues on the path. */
const BURST_BYTES = 5_000;

/**
 * @param rateBytesPerMs refill rate
 * @returns a full bucket
 */
export function createByteBudget(rateBytesPerMs: number): ByteBudget {
  let creditBytes = BURST_BYTES;
  let refilledAtMs = 0;

  return { hasCredit, spend, waitMs };

  function hasCredit(nowMs: number): boolean {
    refill(nowMs);
    return creditBytes > 0;
  }

  function spend(bytes: number, nowMs: number): void {
    refill(nowMs);
    creditBytes -= bytes;
  }

  function waitMs(bytes: number, nowMs: number): number {
    refill(nowMs);
    const neededBytes = Math.min(BURST_BYTES, bytes);
    return Math.max(1, Math.ceil((neededBytes - creditBytes) / rateBytesPerMs));
  }

  function refill(nowMs: number): void {
    creditBytes = Math.min(BURST_BYTES, creditBytes + (nowMs - refilledAtMs) * rateBytesPerMs);
    refilledAtMs = nowMs;
  }
}
