/**
 * @file Shares the probing of back ends among the balancers of a zone: starts this balancer's probes and exchanges
 * results. Messages carry the age of a result rather than a timestamp, so no synchronized clocks are needed.
 */
import type { StepContext } from '../../shared/common/step.js';
import { isLeaseHeld } from '../dissemination/lease.js';
import type { ProbeResult } from '../health/backend-report.js';
import { recordResult, resultsToShare, type SharedResult } from '../health/health-sharing.js';
import { dueProbes, recordObservation, endProbe } from '../health/probe-schedule.js';
import type { ProberGroup } from '../health/prober-selection.js';
import type { HealthMessage } from '../gossip/gossip-messages.js';
import { gossipAddress } from '../gossip/member.js';
import { presentMembers } from '../gossip/member-list.js';
import { zoneMembers } from '../gossip/gossip-state.js';
import type { BalancerEffect } from './balancer-events.js';
import type { BalancerState } from './balancer-state.js';
import { recordIdentity } from './backend-identity.js';
import { recordProbe } from './backend-evidence.js';

/** Interval between messages with probe results while changes are pending, and otherwise; limits the traffic. */
const SHARE_CHANGES_INTERVAL_MS = 500;
const SHARE_IDLE_INTERVAL_MS = 1_000;
/** Number of random members that receive results in each interval. */
const SHARE_FANOUT = 2;
/** A longer gap between ticks means that the process was paused; the daemon ticks every 20 ms. */
const PAUSE_THRESHOLD_MS = 500;
/** Allows for reading the datagrams queued during a pause, whose results are outdated. */
const IGNORE_RESULTS_AFTER_PAUSE_MS = 1_000;

/**
 * Records the result of a probe by this balancer.
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
 * Applies results from another balancer of the same zone, if they are newer than the recorded ones.
 */
export function applySharedResults(
  state: BalancerState,
  message: HealthMessage,
  context: StepContext,
): void {
  const { nowMs } = context;
  detectPause(state, nowMs);
  if (message.zone !== state.options.zone || nowMs < state.ignoreSharedResultsUntilMs) {
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
 * Applies the results that the upstream balancer sent when this one joined. TCP may have delayed them, so they confirm
 * no identity and are not shared further.
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
 * Starts the probes that are due and shares results with other balancers.
 */
export function sharedHealthTick(state: BalancerState, context: StepContext): BalancerEffect[] {
  detectPause(state, context.nowMs);
  state.lastHealthTickAtMs = context.nowMs;
  return [...probesDue(state, context), ...shareResults(state, context)];
}

/**
 * @returns effects that start the probes now due
 */
export function probesDue(state: BalancerState, { nowMs }: StepContext): BalancerEffect[] {
  state.probes.hasLease = isLeaseHeld(state.subscription.lease, nowMs);
  return dueProbes(state.probes, proberGroup(state), nowMs);
}

/** After a pause, the ages in queued datagrams are too low, so results from others are ignored for a while. */
function detectPause(state: BalancerState, nowMs: number): void {
  if (nowMs - (state.lastHealthTickAtMs ?? nowMs) > PAUSE_THRESHOLD_MS) {
    state.ignoreSharedResultsUntilMs = nowMs + IGNORE_RESULTS_AFTER_PAUSE_MS;
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
  const intervalMs =
    state.sharing.changed.size > 0 ? SHARE_CHANGES_INTERVAL_MS : SHARE_IDLE_INTERVAL_MS;
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

/** Epidemic dissemination: log2 of the members plus two rounds reach all members with high probability. */
function sendsPerChange({ gossip }: BalancerState): number {
  const others = gossip?.list.members.size ?? 0;
  return others === 0 ? 0 : Math.ceil(Math.log2(others + 1)) + 2;
}
