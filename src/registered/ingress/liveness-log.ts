/**
 * @file Tracks the last logged liveness of each back end, so that each change is logged once.
 */
import type { Liveness } from '../registry/backend-liveness.js';
import type { KnownBackend } from './known-backend.js';

/** A liveness change of a back end. */
export interface LivenessTransition {
  readonly backend: KnownBackend;
  readonly from: Liveness;
  readonly to: Liveness;
}

/** Last logged liveness of back ends. */
export interface LivenessLog {
  /** @returns the changes since the last call; new back ends start as alive */
  transitions(backends: Iterable<KnownBackend>): LivenessTransition[];
}

/** @returns an empty log */
export function createLivenessLog(): LivenessLog {
  const logged = new WeakMap<KnownBackend, Liveness>();

  return { transitions: (backends) => [...backends].flatMap(transitionOf) };

  function transitionOf(backend: KnownBackend): LivenessTransition[] {
    const from = logged.get(backend) ?? 'alive';
    const to = backend.registration.liveness;
    logged.set(backend, to);
    return from === to ? [] : [{ backend, from, to }];
  }
}
