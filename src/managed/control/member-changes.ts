/**
 * @file Membership changes requested by an administrator: adding an announced machine as a learner, promoting a learner
 * to voter, and removing a member. The consensus step decides whether a change is allowed.
 */
import type { StepContext } from '../../shared/common/step.js';
import { amberliftError } from '../../shared/common/error-kinds.js';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import type { MemberChange } from '../../shared/consensus/membership.js';
import { joinCandidates } from './cluster-join.js';
import { refusalMessage, refusedOutcome, operatorReply, runConsensus } from './consensus-driver.js';
import type { ControlEffect, MemberCommand } from './control-events.js';
import { isLeader, type ControlState, type RequestId } from './control-state.js';

/**
 * Proposes a membership change.
 * @returns the effects of the proposal, or a refusal: `not-leader`, or `not-found` if the machine to add has not
 *   announced itself recently
 */
export function changeMembers(
  state: ControlState,
  requestId: RequestId,
  command: MemberCommand,
  context: StepContext,
): ControlEffect[] {
  if (!isLeader(state)) {
    return operatorReply(
      requestId,
      refusedOutcome(state, 'not-leader', refusalMessage('not-leader')),
    );
  }
  const change = memberChange(state, command, context.nowMs);
  if (change === undefined) {
    const error = amberliftError(
      'not-found',
      `Machine ${command.nodeId} has not announced itself recently.`,
    );
    return [{ type: 'operator-reply', requestId, outcome: { accepted: false, error } }];
  }
  const event: ConsensusEvent = { type: 'change-membership', proposalId: requestId, change };
  return runConsensus(state, event, context);
}

function memberChange(
  state: ControlState,
  command: MemberCommand,
  nowMs: number,
): MemberChange | undefined {
  const { type, nodeId } = command;
  if (type !== 'add-member') {
    return { type, nodeId };
  }
  const machine = joinCandidates(state.join, state.consensus, nowMs).find(
    (candidate) => candidate.nodeId === nodeId,
  );
  if (machine === undefined) {
    return undefined;
  }
  const { storageId, linkAddress, operatorAddress } = machine;
  return { type, member: { nodeId, storageId, linkAddress, operatorAddress } };
}
