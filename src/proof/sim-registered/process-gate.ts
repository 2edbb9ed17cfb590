/**
 * @file Dispatches events to a simulated process: runs them at once, queues them while the process is suspended, and drops
 * those meant for an earlier run of the process.
 */
import type { VirtualClock } from '../virtual/virtual-clock.js';

/** Controls when events reach a process. */
export interface ProcessGate {
  readonly isFrozen: boolean;
  /** Incremented with each start and each end of the process. */
  readonly generation: number;
  /** Marks a start or an end of the process and drops queued events; returns the new generation. */
  advanceGeneration(): number;
  /** Suspends the process. */
  freeze(durationMs: number): void;
  /** Runs an action now or when the process resumes; dropped if the generation has changed. */
  whenRunning(generation: number, run: () => void): void;
}

/** @returns the gate of a process that has not been started */
export function createProcessGate(clock: VirtualClock): ProcessGate {
  let generation = 0;
  /** Queued actions in order; undefined if the process is not suspended. */
  let backlog: (() => void)[] | undefined;

  return {
    get isFrozen() {
      return backlog !== undefined;
    },
    get generation() {
      return generation;
    },
    advanceGeneration,
    freeze,
    whenRunning,
  };

  function advanceGeneration(): number {
    generation += 1;
    backlog = undefined;
    return generation;
  }

  function freeze(durationMs: number): void {
    if (backlog !== undefined) {
      return;
    }
    const frozenGeneration = generation;
    backlog = [];
    clock.after(durationMs, () => {
      if (frozenGeneration === generation) {
        const queued = backlog ?? [];
        backlog = undefined;
        queued.forEach((run) => run());
      }
    });
  }

  function whenRunning(forGeneration: number, run: () => void): void {
    if (forGeneration !== generation) {
      return;
    }
    if (backlog === undefined) {
      run();
    } else {
      backlog.push(run);
    }
  }
}
