/**
 * @file What a control machine does with each tick, in this order: it forms or joins its group, lets consensus act on
 * time, changes the membership and the list of back ends as the leader, gives up calls, updates the liveness of back
 * ends, informs the other control machines, and feeds the balancers with what has changed.
 */
import type { StepContext } from '../../shared/common/step.js';
import { nextBackendListCommand } from './backends/backend-list.js';
import { feedSubscribers } from './feed/balancer-feed.js';
import { removeSilentPeers, shareBalancers } from './feed/balancer-list-exchange.js';
import { OWN_PROPOSAL, runConsensus, type ConsensusRunState } from './group-consensus.js';
import type { GroupEffect } from './group-events.js';
import { announceWhereDue, askToLeave, firstMembershipEvent } from './members/group-formation.js';
import type { GroupState } from './group-state.js';
import { shareHeartbeats } from './backends/heartbeats.js';
import { expireCalls } from './calls/leader-requests.js';
import { updateLiveness } from './backends/liveness-updates.js';
import { publishLoads, shareLoadSums } from './feed/load-table-exchange.js';
import { nextMemberChange } from './members/member-changes.js';
import { encodeGroupCommand } from './replicated-state.js';

/**
 * Does what is due.
 * @returns the effects, in order
 */
export function handleTick(state: GroupState, context: StepContext): GroupEffect[] {
  const { nowMs } = context;
  const effects: GroupEffect[] = [];
  effects.push(...beginGroup(state, context));
  effects.push(...announceWhereDue(state, nowMs));
  effects.push(...(state.announcements.isStopping ? askToLeave(state) : []));
  effects.push(...runConsensus(state, { type: 'tick' }, context));
  effects.push(...changeMembers(state, context));
  effects.push(...changeBackendList(state, context));
  effects.push(...expireCalls(state, nowMs));
  updateLiveness(state, nowMs);
  removeSilentPeers(state, nowMs);
  effects.push(...shareHeartbeats(state));
  effects.push(...shareBalancers(state, nowMs));
  effects.push(...shareLoadSums(state, nowMs));
  effects.push(...feedSubscribers(state, nowMs));
  effects.push(...publishLoads(state, nowMs));
  state.registry.removeSilent(nowMs, state.options.forgetBackendAfterMs);
  return effects;
}

function beginGroup(
  state: ConsensusRunState & Pick<GroupState, 'clusterId'>,
  context: StepContext,
): GroupEffect[] {
  const event = firstMembershipEvent(state);
  return event === undefined ? [] : runConsensus(state, event, context);
}

function changeMembers(state: ConsensusRunState, context: StepContext): GroupEffect[] {
  const change = nextMemberChange(state, context.nowMs);
  if (change === undefined) {
    return [];
  }
  return runConsensus(
    state,
    { type: 'change-membership', proposalId: OWN_PROPOSAL, change },
    context,
  );
}

function changeBackendList(state: ConsensusRunState, context: StepContext): GroupEffect[] {
  const command = nextBackendListCommand(state);
  if (command === undefined) {
    return [];
  }
  state.backendList.recordProposal(state.consensus.log.last.index + 1);
  const data = encodeGroupCommand(command);
  return runConsensus(state, { type: 'propose', proposalId: OWN_PROPOSAL, data }, context);
}
