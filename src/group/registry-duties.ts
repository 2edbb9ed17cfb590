/**
 * @file How the leader keeps the replicated list of back ends: those heard of for the first time are
 * added, those silent for long are dropped, a batch at a time and never in the way of a heartbeat.
 */
import type { BackendRecord } from '../registry/backend-record.js';
import type { GroupState } from './group-state.js';
import type { GroupCommand, ReplicatedState } from './replicated-state.js';

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
 * Takes the replicated list into the registry, after a start or a snapshot: those back ends may well be
 * there, and are counted as heard of one heartbeat ago, until their next heartbeat tells.
 */
export function seedRegistry(state: GroupState, nowMs: number): void {
  const heardAtMs = nowMs - state.options.heartbeatIntervalMs;
  for (const registered of state.replicated.allBackends()) {
    const record = { ...registered, warmUpLeftMs: 0 };
    if (state.registry.get(record.id) === undefined) {
      state.registry.take(record, heardAtMs);
      state.changes.records.push({ record, ageMs: state.options.heartbeatIntervalMs });
    }
  }
}
