/**
 * @file Maintains the replicated list of back ends, from which a group that restarts as a whole learns its back ends
 * before their next heartbeats. The leader adds back ends with a configured service that have not departed, and removes
 * those that the heartbeat registry has dropped.
 *
 * Changes are batched: only one command is pending at a time, and heartbeats are acknowledged without waiting for it.
 */
import { isConfiguredService } from './backend-admission.js';
import type { BackendRecord } from '../../registry/backend-record.js';
import type { GroupState } from '../group-state.js';
import type { GroupCommand, ReplicatedState } from '../replicated-state.js';

/**
 * @returns the next list change to propose; undefined if there is none, one is pending, or this machine is not the leader
 */
export function nextBackendListCommand({
  consensus,
  replicated,
  registry,
  backendList,
  configs,
}: Pick<GroupState, 'backendList' | 'configs' | 'consensus' | 'registry' | 'replicated'>):
  GroupCommand | undefined {
  const { role, commitIndex, log } = consensus;
  const { proposalIndex } = backendList;
  const isPending = proposalIndex > commitIndex && proposalIndex <= log.last.index;
  if (role.name !== 'leader' || commitIndex < role.termStartIndex || isPending) {
    return undefined;
  }
  const records = [...registry.all()]
    .map(({ record }) => record)
    .filter(isMissingFrom(replicated))
    .filter(({ service }) => isConfiguredService({ configs }, service));
  if (records.length > 0) {
    return { type: 'register-backends', records };
  }
  const backendIds = [...replicated.allBackends()]
    .map(({ id }) => id)
    .filter((id) => registry.get(id) === undefined);
  return backendIds.length > 0 ? { type: 'forget-backends', backendIds } : undefined;
}

function isMissingFrom(replicated: ReplicatedState) {
  return ({ id }: BackendRecord) =>
    !replicated.hasBackend(id) && replicated.departureOf(id) !== 'gone';
}
