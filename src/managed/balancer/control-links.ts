/**
 * @file A balancer's part in the control plane: its link upwards, the balancers that are linked to it,
 * and its membership.
 */
import type { Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../dissemination/link-messages.js';
import { planLinks } from '../dissemination/link-plan.js';
import {
  handleSubscriberGone,
  handleSubscriberMessage,
  passOnUpdate,
  type LinkId,
  type LinkSendEffect,
} from '../dissemination/publisher.js';
import {
  acknowledge,
  handleControlMessage,
  handleLinkOpened,
  setLinkPlan,
  subscriptionTick,
  type ReportSource,
} from '../dissemination/subscription.js';
import { expireReports } from '../dissemination/subtree-report.js';
import type { PeerDatagram } from '../gossip/gossip-messages.js';
import { allSharedResults } from '../health/health-sharing.js';
import { liveBalancerCount, zoneMembers } from '../gossip/gossip-state.js';
import { gossipStep } from '../gossip/gossip-step.js';
import type { BalancerEffect, PeerSendEffect } from './balancer-events.js';
import type { BalancerState } from './balancer-state.js';
import { applyConfigUpdate } from './config-tables.js';
import { applyHealthState, applySharedResults } from './shared-health.js';

/** Time between two counts of the live balancers, in milliseconds. */
const FLEET_COUNT_INTERVAL_MS = 500;

/**
 * The link upwards stands.
 */
export function handleUplinkOpened(
  state: BalancerState,
  linkId: number,
  { nowMs }: StepContext,
): BalancerEffect[] {
  return handleLinkOpened(state.subscription, linkId, reportSource(state), nowMs);
}

/**
 * Takes a message over the link upwards, and passes on an update that is new.
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
  const passedOn = hasChanged ? passOnUpdate(publisher, update).map(toPeer) : [];
  const acknowledged = acknowledge(subscription, reportSource(state), nowMs);
  return { effects: [...effects, ...acknowledged, ...passedOn], hasChanged };
}

/**
 * Takes a message of a balancer that is linked to this one.
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
 * The link of another balancer is closed.
 */
export function handlePeerClosed(state: BalancerState, linkId: LinkId): void {
  handleSubscriberGone(state.publisher, linkId);
}

/**
 * Takes a datagram of another balancer.
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
 * Time has passed.
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
 * A planned stop begins: the others needn't find out.
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
