/**
 * @file A balancer's part in the shared probing of back ends: its own probes, the results of other
 * balancers of its zone, and what it tells them.
 */
import type { StepContext } from '../../shared/common/step.js';
import { isLeaseHeld } from '../dissemination/lease.js';
import type { ProbeResult } from '../health/backend-report.js';
import { recordResult, resultsToShare, type SharedResult } from '../health/health-sharing.js';
import {
  dueProbes,
  recordObservation,
  endProbe,
  type ProberGroup,
} from '../health/probe-schedule.js';
import type { HealthMessage } from '../gossip/gossip-messages.js';
import { gossipAddress } from '../gossip/member.js';
import { presentMembers } from '../gossip/member-list.js';
import { zoneMembers } from '../gossip/gossip-state.js';
import type { BalancerEffect } from './balancer-events.js';
import type { BalancerState } from './balancer-state.js';
import { recordIdentity } from './backend-identity.js';
import { recordProbe } from './backend-evidence.js';

/** Time between two messages to others, in milliseconds: with news, and without. */
const CHANGES_INTERVAL_MS = 500;
const IDLE_INTERVAL_MS = 1_000;
/** How many others are told at a time. */
const SHARE_FANOUT = 2;
/** A gap between ticks beyond which this process was paused, in milliseconds. */
const PAUSE_LIMIT_MS = 500;
/** After a pause, what came meanwhile is not taken for this time, in milliseconds. */
const DISTRUST_AFTER_PAUSE_MS = 1_000;

/**
 * Takes the outcome of an own probe.
 */
export function handleProbeResult(
  state: BalancerState,
  result: ProbeResult,
  context: StepContext,
): void {
  const startedAtMs = endProbe(state.probes, result.backendId);
  recordProbe(state, result, context);
  recordIdentity(state, result, startedAtMs);
  if (startedAtMs !== undefined) {
    recordResult(state.sharing, result, startedAtMs, sendsPerChange(state));
  }
}

/**
 * Takes results of another balancer of the zone, those that are later than what is known.
 */
export function applySharedResults(
  state: BalancerState,
  message: HealthMessage,
  context: StepContext,
): void {
  const { nowMs } = context;
  detectPause(state, nowMs);
  if (message.zone !== state.options.zone || nowMs < state.distrustUntilMs) {
    return;
  }
  for (const { ageMs, ...result } of message.results) {
    const observedAtMs = nowMs - ageMs;
    if (recordObservation(state.probes, result.backendId, observedAtMs)) {
      recordProbe(state, result, { ...context, nowMs: observedAtMs });
      recordIdentity(state, result, observedAtMs);
      recordResult(state.sharing, result, observedAtMs, sendsPerChange(state));
    }
  }
}

/**
 * Takes what another balancer told over a link when this one joined. A link may have held it up for
 * long, so it confirms no identity and is not told on.
 */
export function applyHealthState(
  state: BalancerState,
  results: readonly SharedResult[],
  context: StepContext,
): void {
  for (const { ageMs, ...result } of results) {
    const observedAtMs = context.nowMs - ageMs;
    if (recordObservation(state.probes, result.backendId, observedAtMs)) {
      recordProbe(state, result, { ...context, nowMs: observedAtMs });
    }
  }
}

/**
 * Begins the probes that are due, and tells others what is known.
 */
export function sharedHealthTick(state: BalancerState, context: StepContext): BalancerEffect[] {
  detectPause(state, context.nowMs);
  state.healthTickAtMs = context.nowMs;
  return [...probesDue(state, context), ...shareResults(state, context)];
}

/**
 * @returns the probes that are due
 */
export function probesDue(state: BalancerState, { nowMs }: StepContext): BalancerEffect[] {
  state.probes.hasLease = isLeaseHeld(state.subscription.lease, nowMs);
  return dueProbes(state.probes, proberGroup(state), nowMs);
}

/** Datagrams that waited while this process was paused tell a past for the present. */
function detectPause(state: BalancerState, nowMs: number): void {
  if (nowMs - (state.healthTickAtMs ?? nowMs) > PAUSE_LIMIT_MS) {
    state.distrustUntilMs = nowMs + DISTRUST_AFTER_PAUSE_MS;
  }
}

function proberGroup({ gossip, options, linkPlanVersion, probers }: BalancerState): ProberGroup {
  if (gossip === undefined) {
    return probers.group;
  }
  if (probers.plannedVersion !== linkPlanVersion) {
    const ids = zoneMembers(gossip).map(({ id }) => id);
    probers.plannedVersion = linkPlanVersion;
    probers.group = { selfId: options.balancerId, ids, version: linkPlanVersion };
  }
  return probers.group;
}

function shareResults(state: BalancerState, { nowMs, random }: StepContext): BalancerEffect[] {
  const { gossip, options } = state;
  const intervalMs = state.sharing.changed.size > 0 ? CHANGES_INTERVAL_MS : IDLE_INTERVAL_MS;
  if (gossip === undefined || nowMs < state.resultsSharedAtMs + intervalMs) {
    return [];
  }
  state.resultsSharedAtMs = nowMs;
  const others = presentMembers(gossip.list);
  const effects: BalancerEffect[] = [];
  for (let count = Math.min(SHARE_FANOUT, others.length); count > 0; count -= 1) {
    const [receiver] = others.splice(random.nextInt(others.length), 1);
    const results = resultsToShare(state.sharing, nowMs);
    if (receiver !== undefined && results.length > 0) {
      const message: HealthMessage = { type: 'health', zone: options.zone, results };
      effects.push({ type: 'gossip-send', to: gossipAddress(receiver), message });
    }
  }
  return effects;
}

/** Enough for a piece of news to reach all members, each telling it on. */
function sendsPerChange({ gossip }: BalancerState): number {
  const others = gossip?.list.members.size ?? 0;
  return others === 0 ? 0 : Math.ceil(Math.log2(others + 1)) + 2;
}
