/**
 * @file Step function of a control machine: dispatches each event to the module that handles it. Events are calls of back
 * ends and operators, messages of other control machines, links of balancers, completed disk writes, and ticks.
 *
 * - `members`: group formation and membership;
 * - `calls`: forwarding of calls to the leader, and their replies;
 * - `backends`: heartbeats, liveness, and the replicated list of back ends;
 * - `feed`: updates to balancers, and the load exchange;
 * - `wire`: encoding of feeds.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../../shared/common/step.js';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import { handleDeregistration, handleHeartbeat } from './calls/backend-calls.js';
import {
  addSubscriber,
  applyAcknowledgement,
  feedSubscriber,
  removeSubscriber,
} from './feed/balancer-feed.js';
import { runConsensus } from './group-consensus.js';
import type { GroupEffect, GroupEvent } from './group-events.js';
import { requestRemoval } from './members/group-formation.js';
import type { GroupState } from './group-state.js';
import { handleTick } from './group-tick.js';
import type { RunConsensus } from './calls/leader-replies.js';
import { startCall } from './calls/leader-requests.js';
import { applyLoadReport } from './feed/load-table-exchange.js';
import { applySuspicionReport } from './feed/suspicion-exchange.js';
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
  state.stallDetector.recordActivity(nowMs);
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
      return feedSubscriber(state, linkId, nowMs);
    })
    .with({ type: 'load-report' }, ({ linkId, message }) => {
      if (state.subscribers.has(linkId)) {
        applyLoadReport(state, linkId, message);
        applySuspicionReport(state, linkId, message, nowMs);
      }
      return [];
    })
    .with({ type: 'feed-taken' }, ({ linkId, message }) =>
      applyAcknowledgement(state, linkId, message.count, nowMs),
    )
    .with({ type: 'link-closed' }, ({ linkId }) => {
      removeSubscriber(state, linkId);
      return [];
    })
    .with({ type: 'persisted' }, { type: 'persist-failed' }, (persistEvent) => run(persistEvent))
    .with({ type: 'tick' }, () => handleTick(state, context))
    .with({ type: 'stop' }, () => handleStop(state, run))
    .exhaustive();
}

/** Hands over leadership, and asks to be removed if the group can spare this voter. */
function handleStop(state: GroupState, run: RunConsensus): GroupEffect[] {
  state.announcements.stop();
  return [...run({ type: 'transfer-leadership' }), ...requestRemoval(state)];
}
