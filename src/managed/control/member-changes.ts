/**
 * @file Changes of the control machines themselves, by order of an administrator: adding a machine that announced itself (as
 * a learner), promoting a learner to a voter, removing a member. Whether the consensus allows a change is its own decision.
 */
import type { StepContext } from '../../shared/common/step.js';
import { amberliftError } from '../../shared/common/error-kinds.js';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import type { MemberChange } from '../../shared/consensus/membership.js';
import { machinesToAdd } from './cluster-join.js';
import { refusalText, refusedOutcome, replyTo, runConsensus } from './consensus-driver.js';
import type { ControlEffect, MemberCommand } from './control-events.js';
import { isLeader, type ControlState, type RequestId } from './control-state.js';

/**
 * Proposes a change of the control machines.
 * @returns the effects of the proposal, or the refusal: `not-leader`, or `not-found` for a machine that has not announced
 *   itself within the last seconds
 */
export function changeMembers(
  state: ControlState,
  requestId: RequestId,
  command: MemberCommand,
  context: StepContext,
): ControlEffect[] {
  if (!isLeader(state)) {
    return replyTo(requestId, refusedOutcome(state, 'not-leader', refusalText('not-leader')));
  }
  const change = memberChange(state, command, context.nowMs);
  if (change === undefined) {
    const error = amberliftError('not-found', `No machine ${command.nodeId} asks to be added.`);
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
  const machine = machinesToAdd(state.join, state.consensus, nowMs).find(
    (candidate) => candidate.nodeId === nodeId,
  );
  if (machine === undefined) {
    return undefined;
  }
  const { storageId, linkAddress, operatorAddress } = machine;
  return { type, member: { nodeId, storageId, linkAddress, operatorAddress } };
}
