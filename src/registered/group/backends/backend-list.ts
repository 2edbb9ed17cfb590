/**
 * @file Which back ends does the leader add to the replicated list, and which does it drop?
 *
 * The list lets a group that restarts as a whole know its back ends before their next heartbeats. Inputs: the registry
 * of heartbeats, the list and the departures of the replicated state, and whether a change of the list is under way.
 * Returns the next command, or none. Back ends that the list lacks are added, unless they are gone or no configuration
 * names their service; back ends that the
 * registry has forgotten (`forgetBackendAfterMs` without a heartbeat, in milliseconds) are dropped.
 *
 * One command at a time carries all that is due, so that many heartbeats at once cost one entry, and no heartbeat waits
 * for an entry.
 */
import { isNamedService } from './backend-admission.js';
import type { BackendRecord } from '../../registry/backend-record.js';
import type { GroupState } from '../group-state.js';
import type { GroupCommand, ReplicatedState } from '../replicated-state.js';

/**
 * @returns the next change of the list that this machine should make as the leader; none while one is under way
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
  const isUnderWay = proposalIndex > commitIndex && proposalIndex <= log.last.index;
  if (role.name !== 'leader' || commitIndex < role.termStartIndex || isUnderWay) {
    return undefined;
  }
  const records = [...registry.all()]
    .map(({ record }) => record)
    .filter(isNewTo(replicated))
    .filter(({ service }) => isNamedService({ configs }, service));
  if (records.length > 0) {
    return { type: 'register-backends', records };
  }
  const backendIds = [...replicated.allBackends()]
    .map(({ id }) => id)
    .filter((id) => registry.get(id) === undefined);
  return backendIds.length > 0 ? { type: 'forget-backends', backendIds } : undefined;
}

function isNewTo(replicated: ReplicatedState) {
  return ({ id }: BackendRecord) =>
    !replicated.hasBackend(id) && replicated.departureOf(id) !== 'gone';
}
