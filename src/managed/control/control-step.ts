/**
 * @file Step function of a control machine; dispatches events to the modules that handle them. Operator commands are
 * applied and published to balancers once committed; queries are answered after a quorum confirms the leadership.
 * Deterministic: time and randomness come from the event and the context.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../../shared/common/step.js';
import {
  handleSubscriberDisconnected,
  handleSubscriberMessage,
} from '../dissemination/publisher.js';
import { bootstrapEvent, isAnnouncementDue } from './cluster-join.js';
import type { ControlEffect, ControlEvent } from './control-events.js';
import type { ControlState } from './control-state.js';
import { propose, runConsensus } from './consensus-driver.js';
import { confirmLeadership, proposeLeaderCommands, type TickInput } from './leadership.js';
import { changeMembers } from './member-changes.js';
import { announce, handleEnvelope } from './peer-envelopes.js';

export type { ControlEffect, ControlEvent } from './control-events.js';
export {
  createControlState,
  isLeader,
  type ControlOptions,
  type ControlState,
  type RequestId,
} from './control-state.js';

/**
 * Handles one event.
 * @returns the effects for the daemon, in order
 */
export function controlStep(
  state: ControlState,
  event: ControlEvent,
  context: StepContext,
): ControlEffect[] {
  return match(event)
    .with({ type: 'propose' }, ({ requestId, entry }) => propose(state, entry, context, requestId))
    .with({ type: 'query' }, ({ requestId }) =>
      runConsensus(state, { type: 'read', readId: requestId }, context),
    )
    .with({ type: 'change-members' }, ({ requestId, command }) =>
      changeMembers(state, requestId, command, context),
    )
    .with({ type: 'peer-message' }, ({ envelope }) => handleEnvelope(state, envelope, context))
    .with({ type: 'persisted' }, { type: 'persist-failed' }, (persistResult) =>
      runConsensus(state, persistResult, context),
    )
    .with({ type: 'link-message' }, ({ linkId, message }) =>
      handleSubscriberMessage(
        state.publisher,
        linkId,
        message,
        state.cluster.routing,
        context.nowMs,
      ),
    )
    .with({ type: 'link-closed' }, ({ linkId }) => {
      handleSubscriberDisconnected(state.publisher, linkId);
      return [];
    })
    .with({ type: 'stop' }, () => runConsensus(state, { type: 'transfer-leadership' }, context))
    .with({ type: 'tick' }, ({ wallTimeMs, freshSecret }) =>
      tick(state, { wallTimeMs, freshSecret }, context),
    )
    .exhaustive();
}

function tick(state: ControlState, tickInput: TickInput, context: StepContext): ControlEffect[] {
  const { join, consensus } = state;
  const effects: ControlEffect[] = [];
  state.wallTimeMs = tickInput.wallTimeMs;
  const bootstrap = bootstrapEvent(join, consensus, context.nowMs);
  if (bootstrap !== undefined) {
    effects.push(...runConsensus(state, bootstrap, context));
  }
  if (isAnnouncementDue(join, consensus, context.nowMs)) {
    const peers = join.peers.map(({ nodeId, linkAddress }) =>
      announce(state, linkAddress, { nodeId }, true),
    );
    effects.push(...peers);
  }
  effects.push(...runConsensus(state, { type: 'tick' }, context));
  effects.push(...confirmLeadership(state, context));
  effects.push(...proposeLeaderCommands(state, tickInput, context));
  return effects;
}
