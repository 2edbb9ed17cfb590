/**
 * @file The decision step of a control machine. Commands of operators go through the consensus log, are applied once
 * they are committed, and are published to balancers; queries are answered only after a quorum has confirmed that
 * this machine leads.
 *
 * This module dispatches: proposals and consensus stand in `consensus-driver.ts`, other control machines in
 * `peer-envelopes.ts` and `member-changes.ts`, the leader's own work in `leadership.ts`, balancers in
 * `dissemination/publisher.ts`. Deterministic; time and randomness come with the event and the context.
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
import { confirmLeadership, proposeDuties, type ClockReading } from './leadership.js';
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
 * @returns the effects, in order
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
    .with({ type: 'persisted' }, { type: 'persist-failed' }, (ended) =>
      runConsensus(state, ended, context),
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

function tick(state: ControlState, clock: ClockReading, context: StepContext): ControlEffect[] {
  const { join, consensus } = state;
  const effects: ControlEffect[] = [];
  state.wallTimeMs = clock.wallTimeMs;
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
  effects.push(...proposeDuties(state, clock, context));
  return effects;
}
