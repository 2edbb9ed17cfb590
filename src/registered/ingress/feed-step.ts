/**
 * @file What a balancer takes from its control machine, and what it tells it.
 */
import { NO_VERSION } from '../declared/config-update.js';
import type { FeedMessage } from '../group/group-messages.js';
import {
  packLoads,
  type BackendLoadEntry,
  type PackedLoads,
} from '../load-exchange/backend-load.js';
import { packAnswerStats, type PackedAnswerStats } from '../load-exchange/answer-stats.js';
import type { Liveness } from '../registry/backend-liveness.js';
import type { KnownBackend } from './backend-table.js';
import type { IngressState } from './ingress-state.js';

/** A back end that is judged otherwise than before. */
export interface LivenessTransition {
  readonly backend: KnownBackend;
  readonly from: Liveness;
  readonly to: Liveness;
}

/** Loads that were told count until the feed has not been current for so long. */
const LOADS_LIFETIME_MS = 2_000;

/** What a message of the control machine did to the configuration. */
export type ConfigOutcome =
  | { readonly type: 'unchanged' }
  | { readonly type: 'in-force'; readonly version: number }
  /** It does not follow what is held here: the control machine must begin anew. */
  | { readonly type: 'unfit' };

/**
 * Takes a message of the control machine.
 */
export function applyFeedMessage(
  state: IngressState,
  message: FeedMessage,
  nowMs: number,
): ConfigOutcome {
  state.zones.applyUpdates(message.zones ?? [], nowMs);
  noteTransfer(state, message);
  const { records, judgements, departures, balancers = [], lostBalancers = [] } = message;
  const { backends, peers } = state;
  records?.forEach((aged) => backends.applyRecord(aged, nowMs));
  judgements?.forEach((judgement) => backends.applyLiveness(judgement, nowMs));
  departures?.forEach((departure) => backends.applyDeparture(departure, nowMs));
  peers.applyChanges(balancers, lostBalancers);
  endTransfer(state, message, nowMs);
  if (message.loads !== undefined) {
    backends.applyFleetLoads(message.loads);
  }
  if (message.signals !== undefined) {
    backends.applyFleetAnswerStats(message.signals);
  }
  const taken = takeConfig(state, message);
  if (message.isCurrent && message.isComplete && taken.type !== 'unfit') {
    state.currentAtMs = nowMs;
    state.firstCurrentAtMs ??= nowMs;
  }
  return taken;
}

function takeConfig({ routes, assembly }: IngressState, { config }: FeedMessage): ConfigOutcome {
  if (config === undefined || config.version <= (routes.config?.version ?? NO_VERSION)) {
    return { type: 'unchanged' };
  }
  const part = assembly.addPart(config);
  if (part.type !== 'complete') {
    return part.type === 'unfit' ? part : { type: 'unchanged' };
  }
  const taken = routes.applyUpdate(part.update);
  return taken === 'taken'
    ? { type: 'in-force', version: part.update.version }
    : { type: taken === 'unfit' ? 'unfit' : 'unchanged' };
}

/** From the first message of a whole state on, what is named counts. */
function noteTransfer(state: IngressState, message: FeedMessage): void {
  const { transfer, records = [], balancers = [] } = message;
  if (transfer === 'begins' || transfer === 'whole') {
    state.fullSync = { backendIds: new Set(), balancerNames: new Set() };
  }
  records.forEach(({ record }) => state.fullSync?.backendIds.add(record.id));
  balancers.forEach(({ name }) => state.fullSync?.balancerNames.add(name));
}

/** After the last one, what was not named is doubted. */
function endTransfer(state: IngressState, message: FeedMessage, nowMs: number): void {
  const { transfer, isCurrent } = message;
  if (state.fullSync === undefined || (transfer !== 'ends' && transfer !== 'whole')) {
    return;
  }
  const { backendIds, balancerNames } = state.fullSync;
  state.fullSync = undefined;
  state.peers.retain(balancerNames);
  if (isCurrent) {
    state.backends.suspectAllBut(backendIds, nowMs);
  }
}

/**
 * @returns what passes this balancer; back ends without any load are left out
 */
export function ownLoads(state: IngressState): PackedLoads {
  const loads: BackendLoadEntry[] = [];
  for (const { token, own } of state.backends.all()) {
    if (own.busy > 0) {
      loads.push({ token, busy: own.busy });
    }
  }
  return packLoads(loads);
}

/**
 * @returns how back ends answer here; those of which nothing is known are left out
 */
export function ownAnswerStats(state: IngressState, nowMs: number): PackedAnswerStats {
  return packAnswerStats(
    [...state.backends.all()].map(({ token, answers }) => [token, answers.stats(nowMs)] as const),
  );
}

/**
 * Forgets what is old: flows at rest, back ends that are gone, loads that nobody told for long.
 * @returns back ends that are judged otherwise than at the last sweep
 */
export function ingressSweep(state: IngressState, nowMs: number): LivenessTransition[] {
  state.activities.sweep(nowMs);
  state.backends.forget(nowMs, state.options.flowLifetimeMs);
  if (nowMs - (state.currentAtMs ?? nowMs) > LOADS_LIFETIME_MS) {
    state.backends.applyFleetLoads([]);
    state.backends.applyFleetAnswerStats([]);
  }
  return [...state.backends.all()].flatMap(judgedAnew);
}

function judgedAnew(backend: KnownBackend): LivenessTransition[] {
  const { loggedLiveness: from, liveness: to } = backend;
  backend.loggedLiveness = to;
  return from === to ? [] : [{ backend, from, to }];
}
