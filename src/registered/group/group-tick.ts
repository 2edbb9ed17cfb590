/**
 * @file Periodic work of a control machine, in this order: group formation, consensus timers, membership and back end
 * list changes of the leader, call deadlines, liveness, exchange with other control machines, and feeds to balancers.
 */
import type { StepContext } from '../../shared/common/step.js';
import { nextBackendListCommand } from './backends/backend-list.js';
import { feedSubscribers } from './feed/balancer-feed.js';
import { removeSilentPeers, shareBalancers } from './feed/balancer-list-exchange.js';
import { INTERNAL_PROPOSAL_ID, runConsensus, type ConsensusRunState } from './group-consensus.js';
import type { GroupEffect } from './group-events.js';
import { announceIfDue, requestRemoval, bootstrapEvent } from './members/group-formation.js';
import type { GroupState } from './group-state.js';
import { shareHeartbeats } from './backends/heartbeats.js';
import { expireCalls } from './calls/leader-requests.js';
import { updateLiveness } from './backends/liveness-updates.js';
import { publishLoads, shareLoadSums } from './feed/load-table-exchange.js';
import { publishSuspicions, shareSuspicions } from './feed/suspicion-exchange.js';
import { nextMemberChange } from './members/member-changes.js';
import { encodeGroupCommand } from './replicated-state.js';

/**
 * Runs the periodic work that is due.
 * @returns the effects, in order
 */
export function handleTick(state: GroupState, context: StepContext): GroupEffect[] {
  const { nowMs } = context;
  const effects: GroupEffect[] = [];
  effects.push(...bootstrapGroup(state, context));
  effects.push(...announceIfDue(state, nowMs));
  effects.push(...(state.announcements.isStopping ? requestRemoval(state) : []));
  effects.push(...runConsensus(state, { type: 'tick' }, context));
  effects.push(...changeMembers(state, context));
  effects.push(...changeBackendList(state, context));
  effects.push(...expireCalls(state, nowMs));
  updateLiveness(state, nowMs);
  removeSilentPeers(state, nowMs);
  effects.push(...shareHeartbeats(state, nowMs));
  effects.push(...shareBalancers(state, nowMs));
  effects.push(...shareLoadSums(state, nowMs));
  effects.push(...shareSuspicions(state, nowMs));
  effects.push(...feedSubscribers(state, nowMs));
  effects.push(...publishLoads(state, nowMs));
  effects.push(...publishSuspicions(state, nowMs));
  state.registry.removeSilent(nowMs, state.options.forgetBackendAfterMs);
  return effects;
}

function bootstrapGroup(
  state: ConsensusRunState & Pick<GroupState, 'clusterId'>,
  context: StepContext,
): GroupEffect[] {
  const event = bootstrapEvent(state);
  return event === undefined ? [] : runConsensus(state, event, context);
}

function changeMembers(state: ConsensusRunState, context: StepContext): GroupEffect[] {
  const change = nextMemberChange(state, context.nowMs);
  if (change === undefined) {
    return [];
  }
  return runConsensus(
    state,
    { type: 'change-membership', proposalId: INTERNAL_PROPOSAL_ID, change },
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
  return runConsensus(state, { type: 'propose', proposalId: INTERNAL_PROPOSAL_ID, data }, context);
}
