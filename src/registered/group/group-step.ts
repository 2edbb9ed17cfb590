/**
 * @file The decision step of a control machine: calls of back ends and operators, messages of the other control
 * machines, links of balancers, the disk, and time. Each event is handled by the module that is named here:
 *
 * - `members`: how the group forms, and who belongs to it;
 * - `calls`: the way of a call to the leader and back;
 * - `backends`: heartbeats, liveness, and the replicated list of back ends;
 * - `feed`: what balancers get, and the load exchange;
 * - `wire`: how a feed is packed.
 *
 * Beside them stand the state and its parts (group-state.ts), what follows from committed entries (applied-entries.ts),
 * and the times (timing.ts). The rules are listed in docs/decisions/group.md.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../../shared/common/step.js';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import { handleDeregistration, handleHeartbeat } from './calls/backend-calls.js';
import { addSubscriber, applyFeedTaken, feedOne, removeSubscriber } from './feed/balancer-feed.js';
import { runConsensus } from './group-consensus.js';
import type { GroupEffect, GroupEvent } from './group-events.js';
import { askToLeave } from './members/group-formation.js';
import type { GroupState } from './group-state.js';
import { handleTick } from './group-tick.js';
import type { RunConsensus } from './calls/leader-replies.js';
import { startCall } from './calls/leader-requests.js';
import { applyLoadReport } from './feed/load-duties.js';
import { handlePeerMessage } from './peer-messages.js';
import { orderZone } from './calls/zone-order-calls.js';

/**
 * Handles one event.
 * @returns the effects, in order
 */
export function groupStep(
  state: GroupState,
  event: GroupEvent,
  context: StepContext,
): GroupEffect[] {
  const { nowMs } = context;
  state.stallGuard.recordActivity(nowMs);
  const run = (consensusEvent: ConsensusEvent) => runConsensus(state, consensusEvent, context);
  return match(event)
    .with({ type: 'heartbeat' }, (call) => handleHeartbeat(state, call, nowMs, run))
    .with({ type: 'deregister' }, ({ requestId, backendId }) =>
      handleDeregistration(state, requestId, backendId, nowMs, run),
    )
    .with({ type: 'declare-config' }, ({ requestId, document }) => {
      const command = { type: 'declare-config', document } as const;
      return startCall(state, requestId, { type: 'command', command }, nowMs, run);
    })
    .with({ type: 'read-config' }, ({ requestId }) =>
      startCall(state, requestId, { type: 'read-config' }, nowMs, run),
    )
    .with({ type: 'order-zone' }, (call) => orderZone(state, call, nowMs, run))
    .with({ type: 'read-zones' }, ({ requestId }) =>
      startCall(state, requestId, { type: 'read-zones' }, nowMs, run),
    )
    .with({ type: 'peer-message' }, ({ message }) => handlePeerMessage(state, message, context))
    .with({ type: 'subscribe' }, ({ linkId, message }) => {
      addSubscriber(state, linkId, message);
      return feedOne(state, linkId, nowMs);
    })
    .with({ type: 'load-report' }, ({ linkId, message }) => {
      if (state.subscribers.has(linkId)) {
        applyLoadReport(state, linkId, message);
      }
      return [];
    })
    .with({ type: 'feed-taken' }, ({ linkId, message }) =>
      applyFeedTaken(state, linkId, message.count, nowMs),
    )
    .with({ type: 'link-closed' }, ({ linkId }) => {
      removeSubscriber(state, linkId);
      return [];
    })
    .with({ type: 'persisted' }, { type: 'persist-failed' }, (ended) => run(ended))
    .with({ type: 'tick' }, () => handleTick(state, context))
    .with({ type: 'stop' }, () => handleStop(state, run))
    .exhaustive();
}

/** Hands leadership over, and asks to be removed where the group can spare this voter, so that it may stay away. */
function handleStop(state: GroupState, run: RunConsensus): GroupEffect[] {
  state.announcements.stop();
  return [...run({ type: 'transfer-leadership' }), ...askToLeave(state)];
}
