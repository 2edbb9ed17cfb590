/**
 * @file A balancer's part in the shared probing of back ends: begins its own probes (`health/probe-schedule.ts`), applies
 * results of the other balancers of its zone, and sends its own on (`health/health-sharing.ts`).
 *
 * When does a result count? A result of this balancer always; one of another balancer where it is from the same zone, later
 * than what is known, and this process was not paused a moment ago: datagrams that waited meanwhile would show the past as
 * the present. Ages travel in milliseconds, so no clocks are compared. Owns the time of the last tick and of the last pause.
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

/**
 * Time between two messages to others, in milliseconds, while changes wait and otherwise. Bounds the bytes of shared
 * probes. Not measured alone.
 */
const CHANGES_INTERVAL_MS = 500;
const IDLE_INTERVAL_MS = 1_000;
/** Receivers of each message. Not measured; too few if a change takes long to reach the zone. */
const SHARE_FANOUT = 2;
/** A gap between ticks beyond which this process counts as paused, in milliseconds; the daemon ticks every 20 ms. */
const PAUSE_LIMIT_MS = 500;
/**
 * How long after a pause other balancers' results are ignored, in milliseconds: while the datagrams queued meanwhile
 * are read. Not measured.
 */
const DISTRUST_AFTER_PAUSE_MS = 1_000;

/**
 * Records the result of an own probe.
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
 * Applies results of another balancer of the zone where they are later than what is known.
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
 * Applies the results that the balancer above sent when this one joined. TCP may have delayed them for long, so they
 * confirm no identity and are not sent on.
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
 * Begins the probes that are due, and sends results to others.
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

/** Datagrams that waited while this process was paused show the past as the present. */
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

/**
 * Sends per change, by which it reaches all members with high probability where each sends it on: the rounds of a
 * doubling, and two more.
 */
function sendsPerChange({ gossip }: BalancerState): number {
  const others = gossip?.list.members.size ?? 0;
  return others === 0 ? 0 : Math.ceil(Math.log2(others + 1)) + 2;
}
