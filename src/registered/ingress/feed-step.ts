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
import type { IngressState } from './ingress-state.js';
import type { LivenessTransition } from './liveness-log.js';

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
  state.fullSync.collect(message);
  const { records, judgements, departures, balancers = [], lostBalancers = [] } = message;
  const { backends, peers } = state;
  records?.forEach((aged) => backends.applyRecord(aged, nowMs));
  judgements?.forEach((judgement) => backends.applyLiveness(judgement, nowMs));
  departures?.forEach((departure) => backends.applyDeparture(departure, nowMs));
  peers.applyChanges(balancers, lostBalancers);
  endFullSync(state, message, nowMs);
  if (message.loads !== undefined) {
    backends.applyFleetLoads(message.loads);
  }
  if (message.signals !== undefined) {
    backends.applyFleetAnswerStats(message.signals);
  }
  const outcome = applyConfig(state, message);
  if (message.isCurrent && message.isComplete && outcome.type !== 'unfit') {
    state.feedStatus.recordCurrent(nowMs);
  }
  return outcome;
}

function applyConfig({ routes, assembly }: IngressState, { config }: FeedMessage): ConfigOutcome {
  if (config === undefined || config.version <= (routes.config?.version ?? NO_VERSION)) {
    return { type: 'unchanged' };
  }
  const part = assembly.addPart(config);
  if (part.type !== 'complete') {
    return part.type === 'unfit' ? part : { type: 'unchanged' };
  }
  const applied = routes.applyUpdate(part.update);
  return applied === 'applied'
    ? { type: 'in-force', version: part.update.version }
    : { type: applied === 'unfit' ? 'unfit' : 'unchanged' };
}

/** With the last message of a full sync, what it has not named is unknown to the control machine. */
function endFullSync(state: IngressState, message: FeedMessage, nowMs: number): void {
  const named = state.fullSync.finish(message);
  if (named === undefined) {
    return;
  }
  state.peers.retain(named.balancerNames);
  if (message.isCurrent) {
    state.backends.suspectAllBut(named.backendIds, nowMs);
  }
}

/**
 * @returns what passes this balancer; back ends without any load are left out
 */
export function ownLoads(state: IngressState): PackedLoads {
  const loads: BackendLoadEntry[] = [];
  for (const { token, local } of state.backends.all()) {
    if (local.busy > 0) {
      loads.push({ token, busy: local.busy });
    }
  }
  return packLoads(loads);
}

/**
 * @returns how back ends answer here; those of which nothing is known are left out
 */
export function ownAnswerStats(state: IngressState, nowMs: number): PackedAnswerStats {
  return packAnswerStats(
    [...state.backends.all()].map(
      ({ token, local }) => [token, local.answers.stats(nowMs)] as const,
    ),
  );
}

/**
 * Forgets what is old: flows at rest, back ends that are gone, loads that nobody told for long.
 * @returns back ends that are judged otherwise than at the last sweep
 */
export function ingressSweep(state: IngressState, nowMs: number): LivenessTransition[] {
  state.activities.sweep(nowMs);
  state.backends.forget(nowMs, state.options.flowLifetimeMs);
  if (nowMs - (state.feedStatus.currentAtMs ?? nowMs) > LOADS_LIFETIME_MS) {
    state.backends.applyFleetLoads([]);
    state.backends.applyFleetAnswerStats([]);
  }
  return state.livenessLog.transitions(state.backends.all());
}
