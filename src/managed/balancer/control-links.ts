/**
 * @file A balancer's part in the control plane: its link upwards (`dissemination/subscription.ts`), the balancers
 * that are linked to it (`dissemination/publisher.ts`), and gossip with the others (`gossip`). Updates of the
 * configuration come in here, go into the tables (`config-tables.ts`) and on to the balancers below.
 *
 * Owns the link plan's version and the size of the fleet.
 */
import type { Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../dissemination/link-messages.js';
import { planLinks } from '../dissemination/link-plan.js';
import {
  handleSubscriberDisconnected,
  handleSubscriberMessage,
  relayUpdate,
  type LinkId,
  type LinkSendEffect,
} from '../dissemination/publisher.js';
import {
  handleControlMessage,
  handleLinkOpened,
  subscriptionTick,
} from '../dissemination/subscription.js';
import { acknowledge, type ReportSource } from '../dissemination/upstream-report.js';
import { setLinkPlan } from '../dissemination/link-selection.js';
import { expireReports } from '../dissemination/subtree-report.js';
import type { PeerDatagram } from '../gossip/gossip-messages.js';
import { allSharedResults } from '../health/health-sharing.js';
import { liveBalancerCount, zoneMembers } from '../gossip/gossip-state.js';
import { gossipStep } from '../gossip/gossip-step.js';
import type { BalancerEffect, PeerSendEffect } from './balancer-events.js';
import type { BalancerState } from './balancer-state.js';
import { applyConfigUpdate } from './config-tables.js';
import { applyHealthState, applySharedResults } from './shared-health.js';

/**
 * Time between two counts of the live balancers, in milliseconds. Not measured; it saves a pass over all members per
 * tick.
 */
const FLEET_COUNT_INTERVAL_MS = 500;

/**
 * Subscribes over the link upwards, which has just been opened.
 */
export function handleUplinkOpened(
  state: BalancerState,
  linkId: number,
  { nowMs }: StepContext,
): BalancerEffect[] {
  return handleLinkOpened(state.subscription, linkId, reportSource(state), nowMs);
}

/**
 * Handles a message of the link upwards; a newer update is applied, acknowledged and passed on to the balancers below.
 * @returns the effects, and whether the configuration changed
 */
export function handleUplinkMessage(
  state: BalancerState,
  linkId: number,
  message: ControlToBalancerMessage,
  context: StepContext,
): { readonly effects: BalancerEffect[]; readonly hasChanged: boolean } {
  const { nowMs } = context;
  const { subscription, publisher } = state;
  const source = reportSource(state);
  const reaction = handleControlMessage(subscription, linkId, message, source, nowMs);
  const { update, results, effects } = reaction;
  if (results !== undefined) {
    applyHealthState(state, results, context);
  }
  if (update === undefined) {
    return { effects, hasChanged: false };
  }
  const hasChanged = applyConfigUpdate(state, update);
  const passedOn = hasChanged ? relayUpdate(publisher, update).map(toPeer) : [];
  const acknowledged = acknowledge(subscription, reportSource(state), nowMs);
  return { effects: [...effects, ...acknowledged, ...passedOn], hasChanged };
}

/**
 * Handles a message of a balancer that is linked to this one. One that has no configuration yet also gets the known
 * health of back ends.
 */
export function handlePeerMessage(
  state: BalancerState,
  linkId: LinkId,
  message: BalancerToControlMessage,
  { nowMs }: StepContext,
): BalancerEffect[] {
  const { publisher, config } = state;
  const sends = handleSubscriberMessage(publisher, linkId, message, config, nowMs).map(toPeer);
  const isJoining = message.type === 'subscribe' && message.position.index === 0;
  return isJoining && publisher.subscribers.has(linkId)
    ? [...sends, healthState(state, linkId, nowMs)]
    : sends;
}

/**
 * Removes the link of another balancer, which is closed.
 */
export function handlePeerClosed(state: BalancerState, linkId: LinkId): void {
  handleSubscriberDisconnected(state.publisher, linkId);
}

/**
 * Handles a datagram of another balancer: gossip, or results of health probes.
 */
export function handlePeerDatagram(
  state: BalancerState,
  message: PeerDatagram,
  from: Address,
  context: StepContext,
): BalancerEffect[] {
  const { gossip } = state;
  if (message.type === 'health') {
    applySharedResults(state, message, context);
    return [];
  }
  return gossip === undefined ? [] : gossipStep(gossip, { type: 'gossip', message, from }, context);
}

/**
 * Runs gossip, follows changes of the members with the link plan, and keeps the link upwards.
 */
export function controlLinksTick(state: BalancerState, context: StepContext): BalancerEffect[] {
  const { gossip, subscription, publisher } = state;
  const datagrams = gossip === undefined ? [] : gossipStep(gossip, { type: 'tick' }, context);
  replanLinks(state);
  countFleet(state, context.nowMs);
  expireReports(publisher.reports, context.nowMs);
  return [...datagrams, ...subscriptionTick(subscription, reportSource(state), context.nowMs)];
}

/**
 * Sends the others that this balancer stops, so that they needn't suspect it first.
 */
export function leaveGossip(state: BalancerState, context: StepContext): BalancerEffect[] {
  const { gossip } = state;
  return gossip === undefined ? [] : gossipStep(gossip, { type: 'leave' }, context);
}

function replanLinks(state: BalancerState): void {
  const { gossip, subscription, options } = state;
  if (gossip !== undefined && gossip.list.version !== state.linkPlanVersion) {
    state.linkPlanVersion = gossip.list.version;
    setLinkPlan(subscription, planLinks(gossip, options.controlAddresses));
  }
}

function countFleet(state: BalancerState, nowMs: number): void {
  const { gossip, fleet } = state;
  if (gossip !== undefined && nowMs >= state.nextFleetCountAtMs) {
    state.nextFleetCountAtMs = nowMs + FLEET_COUNT_INTERVAL_MS;
    fleet.balancerCount = liveBalancerCount(gossip, nowMs);
    fleet.localBalancerCount = zoneMembers(gossip).length;
  }
}

function reportSource({ position, publisher }: BalancerState): ReportSource {
  return { position, reports: publisher.reports };
}

function healthState(state: BalancerState, linkId: LinkId, nowMs: number): PeerSendEffect {
  const results = allSharedResults(state.sharing, nowMs);
  return { type: 'peer-send', linkId, message: { type: 'health-state', results } };
}

function toPeer({ linkId, message }: LinkSendEffect): PeerSendEffect {
  return { type: 'peer-send', linkId, message };
}
