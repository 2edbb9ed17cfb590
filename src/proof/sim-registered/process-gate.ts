/**
 * @file A simulated process that may stand still and that ends: what comes to it runs at once, waits until it goes
 * on, or never runs, where it was meant for a life of the process that is over.
 */
import type { VirtualClock } from '../virtual/virtual-clock.js';

/** Lets through what comes to a process. */
export interface ProcessGate {
  readonly isFrozen: boolean;
  /** Names the life of the process that runs; another one with each start and each end. */
  readonly generation: number;
  /** The process starts or ends: what waits is dropped. */
  renew(): number;
  /** The process stands still for a while. */
  freeze(forMs: number): void;
  /** Runs something now, or once the process goes on; never in another life of it. */
  whenRunning(generation: number, run: () => void): void;
}

/** @returns the gate of a process that is not started yet */
export function createProcessGate(clock: VirtualClock): ProcessGate {
  let generation = 0;
  /** In order; undefined while the process runs. */
  let backlog: (() => void)[] | undefined;

  return {
    get isFrozen() {
      return backlog !== undefined;
    },
    get generation() {
      return generation;
    },
    renew,
    freeze,
    whenRunning,
  };

  function renew(): number {
    generation += 1;
    backlog = undefined;
    return generation;
  }

  function freeze(forMs: number): void {
    if (backlog !== undefined) {
      return;
    }
    const frozen = generation;
    backlog = [];
    clock.after(forMs, () => {
      if (frozen === generation) {
        const waiting = backlog ?? [];
        backlog = undefined;
        waiting.forEach((run) => run());
      }
    });
  }

  function whenRunning(of: number, run: () => void): void {
    if (of !== generation) {
      return;
    }
    if (backlog === undefined) {
      run();
    } else {
      backlog.push(run);
    }
  }
}
