/**
 * @file A lossless FIFO queue that models one direction of a link with limited bandwidth. Cancelling a transfer frees
 * the transmission time that it has not used.
 */

/** The transmission of one message. */
export interface Transfer {
  /** When the last byte has been transmitted, in milliseconds. */
  readonly doneAtMs: number;
  /** Drops the bytes that have not been transmitted yet. */
  cancel(nowMs: number): void;
}

/** The transmission queue of one direction of a link. */
export interface StreamQueue {
  /** @param fromMs time at which the bytes enter the queue, in milliseconds */
  enqueue(bytes: number, fromMs: number): Transfer;
}

/** @param bytesPerMs bandwidth of the link */
export function createStreamQueue(bytesPerMs: number): StreamQueue {
  let freeAtMs = Number.NEGATIVE_INFINITY;
  return { enqueue };

  function enqueue(bytes: number, fromMs: number): Transfer {
    const startsAtMs = Math.max(freeAtMs, fromMs);
    const doneAtMs = startsAtMs + bytes / bytesPerMs;
    freeAtMs = doneAtMs;
    let isCancelled = false;
    return { doneAtMs, cancel };

    function cancel(nowMs: number): void {
      if (!isCancelled && nowMs < doneAtMs) {
        isCancelled = true;
        freeAtMs -= doneAtMs - Math.max(startsAtMs, nowMs);
      }
    }
  }
}
