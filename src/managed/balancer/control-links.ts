/**
 * @file Connects a balancer to the control plane: receives configuration from its uplink, relays it to downstream
 * balancers and runs the gossip membership.
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

/** Counting live balancers iterates over all members, so it is not done on every tick. */
const FLEET_COUNT_INTERVAL_MS = 500;

/**
 * Subscribes to the configuration over a newly opened uplink.
 */
export function handleUplinkOpened(
  state: BalancerState,
  linkId: number,
  { nowMs }: StepContext,
): BalancerEffect[] {
  return handleLinkOpened(state.subscription, linkId, reportSource(state), nowMs);
}

/**
 * Handles a message from the uplink. A newer configuration is applied, acknowledged and relayed downstream.
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
  const messageResult = handleControlMessage(subscription, linkId, message, source, nowMs);
  const { update, results, effects } = messageResult;
  if (results !== undefined) {
    applyHealthState(state, results, context);
  }
  if (update === undefined) {
    return { effects, hasChanged: false };
  }
  const hasChanged = applyConfigUpdate(state, update);
  const relayed = hasChanged ? relayUpdate(publisher, update).map(toPeer) : [];
  const acknowledgement = acknowledge(subscription, reportSource(state), nowMs);
  return { effects: [...effects, ...acknowledgement, ...relayed], hasChanged };
}

/**
 * Handles a message from a downstream balancer. One without a configuration also receives the current health results.
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
    ? [...sends, healthStateEffect(state, linkId, nowMs)]
    : sends;
}

/**
 * Removes a downstream balancer whose link was closed.
 */
export function handlePeerClosed(state: BalancerState, linkId: LinkId): void {
  handleSubscriberDisconnected(state.publisher, linkId);
}

/**
 * Handles a datagram from another balancer: gossip or health probe results.
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
 * Runs the timers of gossip, link planning, fleet size, subtree reports and the uplink subscription.
 */
export function controlLinksTick(state: BalancerState, context: StepContext): BalancerEffect[] {
  const { gossip, subscription, publisher } = state;
  const datagrams = gossip === undefined ? [] : gossipStep(gossip, { type: 'tick' }, context);
  replanLinks(state);
  updateFleetSize(state, context.nowMs);
  expireReports(publisher.reports, context.nowMs);
  return [...datagrams, ...subscriptionTick(subscription, reportSource(state), context.nowMs)];
}

/**
 * Announces that this balancer is leaving, so that other members don't have to detect its failure.
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

function updateFleetSize(state: BalancerState, nowMs: number): void {
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

function healthStateEffect(state: BalancerState, linkId: LinkId, nowMs: number): PeerSendEffect {
  const results = allSharedResults(state.sharing, nowMs);
  return { type: 'peer-send', linkId, message: { type: 'health-state', results } };
}

function toPeer({ linkId, message }: LinkSendEffect): PeerSendEffect {
  return { type: 'peer-send', linkId, message };
}
