/**
 * @file How a back end answers at all balancers together.
 */
import type { BackendSignals } from '../load-exchange/backend-signals.js';
import type { KnownBackend } from '../ingress/backend-table.js';

/** @returns what is seen here, and what was told of all others */
export function fleetSignals({ answers, others }: KnownBackend, nowMs: number): BackendSignals {
  const own = answers.signals(nowMs);
  return {
    stalled: own.stalled + others.stalled,
    answered: own.answered + others.answered,
    answerMs: own.answerMs + others.answerMs,
    short: own.short + others.short,
  };
}

/** A back end and how it answers at all balancers together. */
export interface ShownBackend {
  readonly backend: KnownBackend;
  readonly signals: BackendSignals;
}

/** @returns what each shows now */
export function showAll(backends: readonly KnownBackend[], nowMs: number): ShownBackend[] {
  return backends.map((backend) => ({ backend, signals: fleetSignals(backend, nowMs) }));
}
