/**
 * @file What a control machine does with the heartbeats of back ends: it keeps the last one of each, passes
 * them on to the other control machines, judges silence, and as the leader keeps the replicated list of
 * back ends: those heard of for the first time are added, those silent for long are dropped, a batch at a
 * time and never in the way of a heartbeat.
 */
import type { BackendRecord } from '../registry/backend-record.js';
import type { GroupEffect } from './group-events.js';
import type { AgedRecord } from './group-messages.js';
import { isCurrent, otherMembers, type GroupState } from './group-state.js';
import type { GroupCommand, ReplicatedState } from './replicated-state.js';

/** Balancers pass over heartbeats of the first two intervals; of the next two one comes, also where one is lost. */
const WARMTH_AWAITED_INTERVALS = 4.5;

/**
 * Takes a heartbeat; balancers are told only where it says something new.
 * @returns false where a later one was known
 */
export function applyHeartbeat(state: GroupState, aged: AgedRecord, nowMs: number): boolean {
  const news = state.registry.apply(aged.record, nowMs - aged.ageMs);
  if (news === 'changed' || (news === 'alive' && isWarmthAwaited(state, aged.record, nowMs))) {
    state.pendingUpdates.registered.add(aged.record.id);
  }
  return news !== 'late';
}

/**
 * Balancers take the back ends of a zone that was readmitted for cold until they hear otherwise, so they are told of
 * their next heartbeats though these say nothing new.
 */
function isWarmthAwaited(
  { readmittedAtMs, options }: GroupState,
  { zone }: BackendRecord,
  nowMs: number,
): boolean {
  const sinceMs = nowMs - (readmittedAtMs.get(zone) ?? Number.NEGATIVE_INFINITY);
  return sinceMs <= WARMTH_AWAITED_INTERVALS * options.heartbeatIntervalMs;
}

/**
 * Tells the other control machines of the heartbeats that came in here.
 */
export function shareHeartbeats(state: GroupState): GroupEffect[] {
  const records = state.heartbeatsToShare;
  if (records.length === 0) {
    return [];
  }
  state.heartbeatsToShare = [];
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'heartbeats', records },
  }));
}

/**
 * Judges the silence of back ends, as long as this machine hears of all heartbeats. Silence from before it
 * did so counts for one interval at most.
 */
export function updateLiveness(state: GroupState, nowMs: number): void {
  const { registry, options } = state;
  if (!state.isRegistrySeeded) {
    state.isRegistrySeeded = true;
    seedRegistry(state, nowMs);
  }
  if (!isCurrent(state, nowMs)) {
    state.listeningSinceMs = undefined;
    return;
  }
  if (state.listeningSinceMs === undefined) {
    state.listeningSinceMs = nowMs - options.heartbeatIntervalMs;
    seedRegistry(state, nowMs);
  }
  const { listeningSinceMs } = state;
  const judgements = registry.updateLiveness(nowMs, listeningSinceMs);
  judgements.forEach(({ backendId }) => state.pendingUpdates.livenessChanged.add(backendId));
}

/**
 * @returns the next change that a leader should make to the list, none while one is under way
 */
export function nextRegistryCommand(state: GroupState): GroupCommand | undefined {
  const { consensus, replicated, registry, registryProposalIndex } = state;
  const { role, commitIndex } = consensus;
  const isBusy =
    registryProposalIndex > commitIndex && registryProposalIndex <= consensus.log.last.index;
  if (role.name !== 'leader' || commitIndex < role.termStartIndex || isBusy) {
    return undefined;
  }
  const records = [...registry.all()].map(({ record }) => record).filter(isNewTo(replicated));
  if (records.length > 0) {
    return { type: 'register-backends', records };
  }
  const backendIds = silentBackends(state);
  return backendIds.length > 0 ? { type: 'forget-backends', backendIds } : undefined;
}

function isNewTo(replicated: ReplicatedState) {
  return ({ id }: BackendRecord) =>
    !replicated.hasBackend(id) && replicated.departureOf(id) !== 'gone';
}

/** Every machine hears every heartbeat, so what the registry has forgotten has been silent for long. */
function silentBackends({ replicated, registry }: GroupState): string[] {
  return [...replicated.allBackends()]
    .map(({ id }) => id)
    .filter((id) => registry.get(id) === undefined);
}

/**
 * Takes the replicated list into the registry, after a start, a snapshot or a cut: those back ends may well
 * be there, and are counted as heard of one heartbeat ago, until their next heartbeat tells.
 */
function seedRegistry(state: GroupState, nowMs: number): void {
  const ageMs = state.options.heartbeatIntervalMs;
  for (const registered of state.replicated.allBackends()) {
    const record = { ...registered, warmUpLeftMs: 0 };
    if (state.registry.get(record.id) === undefined) {
      state.registry.applyListed(record, nowMs - ageMs);
      state.pendingUpdates.registered.add(record.id);
    }
  }
}
