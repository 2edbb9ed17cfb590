/**
 * @file What a balancer takes from its control machine, and what it tells it.
 */
import type { FeedMessage } from '../group/group-messages.js';
import {
  packLoads,
  type BackendLoadEntry,
  type PackedLoads,
} from '../load-exchange/backend-load.js';
import type { Liveness } from '../registry/backend-liveness.js';
import type { KnownBackend } from './backend-table.js';
import type { IngressState } from './ingress-state.js';

/** A back end that is judged otherwise than before. */
export interface JudgedAnew {
  readonly backend: KnownBackend;
  readonly from: Liveness;
  readonly to: Liveness;
}

/** Loads that were told count until the feed has not been current for so long. */
const LOADS_LIFETIME_MS = 2_000;

/**
 * Takes a message of the control machine.
 * @returns true where it put another configuration in force
 */
export function takeFeed(state: IngressState, message: FeedMessage, nowMs: number): boolean {
  takeBackends(state, message, nowMs);
  takePeers(state, message);
  const isNewer = message.config !== undefined && state.routes.take(message.config);
  if (message.loads !== undefined) {
    state.backends.takeLoads(message.loads);
  }
  if (message.isCurrent) {
    state.currentAtMs = nowMs;
    state.firstCurrentAtMs ??= nowMs;
  }
  return isNewer;
}

function takeBackends(state: IngressState, message: FeedMessage, nowMs: number): void {
  const { records, judgements, departures, isWhole, isCurrent } = message;
  const { backends } = state;
  records?.forEach((aged) => backends.take(aged, nowMs));
  judgements?.forEach((judgement) => backends.judge(judgement, nowMs));
  departures?.forEach((departure) => backends.depart(departure, nowMs));
  if (isWhole === true && isCurrent) {
    backends.doubtAllBut(new Set(records?.map(({ record }) => record.id)), nowMs);
  }
}

function takePeers(state: IngressState, message: FeedMessage): void {
  const { balancers = [], lostBalancers = [], isWhole } = message;
  if (isWhole === true) {
    state.peers.takeAll(balancers);
  } else {
    state.peers.takeChanges(balancers, lostBalancers);
  }
}

/**
 * @returns what passes this balancer; back ends without any load are left out
 */
export function ownReport(state: IngressState): PackedLoads {
  const loads: BackendLoadEntry[] = [];
  for (const { token, own } of state.backends.all()) {
    if (own.busy > 0) {
      loads.push({ token, busy: own.busy });
    }
  }
  return packLoads(loads);
}

/**
 * Forgets what is old: flows at rest, back ends that are gone, loads that nobody told for long.
 * @returns back ends that are judged otherwise than at the last sweep
 */
export function ingressSweep(state: IngressState, nowMs: number): JudgedAnew[] {
  state.activities.sweep(nowMs);
  state.backends.forget(nowMs, state.options.flowLifetimeMs);
  if (nowMs - (state.currentAtMs ?? nowMs) > LOADS_LIFETIME_MS) {
    state.backends.takeLoads([]);
  }
  return [...state.backends.all()].flatMap(judgedAnew);
}

function judgedAnew(backend: KnownBackend): JudgedAnew[] {
  const { notedLiveness: from, liveness: to } = backend;
  backend.notedLiveness = to;
  return from === to ? [] : [{ backend, from, to }];
}
