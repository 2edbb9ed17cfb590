/**
 * @file A virtual clock and a simulated network with seeded loss, duplication and reordering of datagrams.
 */
import { seededRandom } from '../../../src/shared/common/random.js';
import type { RandomSource, StepContext } from '../../../src/shared/common/step.js';

/** Faults per datagram; shares are between 0 and 1, times in milliseconds. */
export interface NetworkFaults {
  readonly lossShare: number;
  readonly duplicateShare: number;
  /** Maximum additional delay of the first copy. */
  readonly jitterMs: number;
  /** Maximum additional delay of the second copy. */
  readonly lateCopyMs: number;
}

export const goodNetwork: NetworkFaults = {
  lossShare: 0,
  duplicateShare: 0,
  jitterMs: 0,
  lateCopyMs: 0,
};

export const badNetwork: NetworkFaults = {
  lossShare: 0.1,
  duplicateShare: 0.2,
  jitterMs: 30,
  lateCopyMs: 2_000,
};

interface ScheduledAction {
  readonly atMs: number;
  readonly run: () => void;
}

/** Runs scheduled actions in order of time. */
export class VirtualNetwork {
  private readonly actions: ScheduledAction[] = [];
  private readonly random: RandomSource;
  nowMs = 0;

  constructor(
    seed: number,
    public faults: NetworkFaults,
  ) {
    this.random = seededRandom(seed);
  }

  get context(): StepContext {
    return { nowMs: this.nowMs, random: this.random };
  }

  after(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    let low = 0;
    let high = this.actions.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.actions[middle]?.atMs ?? 0) <= atMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.actions.splice(low, 0, { atMs, run });
  }

  every(intervalMs: number, run: () => void): void {
    this.after(intervalMs, () => {
      run();
      this.every(intervalMs, run);
    });
  }

  /** Transmits one datagram: it may be lost, delayed or duplicated. */
  transmit(delayMs: number, deliver: () => void): void {
    const { lossShare, duplicateShare, jitterMs, lateCopyMs } = this.faults;
    if (this.random.nextFloat() >= lossShare) {
      this.after(delayMs + this.random.nextFloat() * jitterMs, deliver);
    }
    if (this.random.nextFloat() < duplicateShare) {
      this.after(delayMs + this.random.nextFloat() * lateCopyMs, deliver);
    }
  }

  runUntil(endMs: number): void {
    for (let next = this.actions[0]; next && next.atMs <= endMs; next = this.actions[0]) {
      this.actions.shift();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }
}
