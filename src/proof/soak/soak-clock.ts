/**
 * @file Real-time clock for stand-ins: starts at 0 and cancels all its timers when the soak ends.
 */
import type { StandInClock } from '../sim-registered/world-parts.js';

/** A clock whose timers can be cancelled together. */
export interface SoakClock extends StandInClock {
  /** Cancels all timers and ignores new ones. */
  stop(): void;
}

/** @returns a clock that starts now */
export function createSoakClock(): SoakClock {
  const startedAtMs = performance.now();
  const timers = new Set<NodeJS.Timeout>();
  let isStopped = false;

  return {
    get nowMs() {
      return performance.now() - startedAtMs;
    },
    after,
    stop,
  };

  function after(delayMs: number, run: () => void): void {
    if (isStopped) {
      return;
    }
    const timer = setTimeout(() => {
      timers.delete(timer);
      run();
    }, delayMs);
    timers.add(timer);
  }

  function stop(): void {
    isStopped = true;
    timers.forEach((timer) => clearTimeout(timer));
    timers.clear();
  }
}
