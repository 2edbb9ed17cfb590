/**
 * @file One direction of a slow link, as the streams over it see it: bytes wait for those before them, and
 * none is lost. A stream that ends frees what it had not brought through.
 */

/** Bytes of one message on their way. */
export interface Transfer {
  /** When the last of them is through, in milliseconds. */
  readonly doneAtMs: number;
  /** The stream ended: what is not through yet does not pass. */
  giveUp(nowMs: number): void;
}

/** The queue in front of one direction of a link. */
export interface StreamQueue {
  /** @param fromMs when the bytes reach the queue */
  enqueue(bytes: number, fromMs: number): Transfer;
}

/** @param bytesPerMs what the link carries */
export function createStreamQueue(bytesPerMs: number): StreamQueue {
  let freeAtMs = Number.NEGATIVE_INFINITY;
  return { enqueue };

  function enqueue(bytes: number, fromMs: number): Transfer {
    const beginsAtMs = Math.max(freeAtMs, fromMs);
    const doneAtMs = beginsAtMs + bytes / bytesPerMs;
    freeAtMs = doneAtMs;
    let isGivenUp = false;
    return { doneAtMs, giveUp };

    function giveUp(nowMs: number): void {
      if (!isGivenUp && nowMs < doneAtMs) {
        isGivenUp = true;
        freeAtMs -= doneAtMs - Math.max(beginsAtMs, nowMs);
      }
    }
  }
}
