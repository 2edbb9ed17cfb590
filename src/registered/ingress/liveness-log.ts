/**
 * @file Which liveness of each back end the logs named last, so that each change is written once.
 */
import type { Liveness } from '../registry/backend-liveness.js';
import type { KnownBackend } from './known-backend.js';

/** A back end whose liveness has changed. */
export interface LivenessTransition {
  readonly backend: KnownBackend;
  readonly from: Liveness;
  readonly to: Liveness;
}

/** What the logs have said of the liveness of back ends. */
export interface LivenessLog {
  /** @returns what has changed since the last call; a back end that is new counts as alive before */
  transitions(backends: Iterable<KnownBackend>): LivenessTransition[];
}

/** @returns a log that has named no back end yet */
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
