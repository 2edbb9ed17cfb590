/**
 * @file Which back ends of a service may receive a new flow? Those that are judged ready; where none is ready, those that
 * are busy; none that is starting, draining or down. Without a lease only those of them that confirmed their identity a
 * moment ago.
 *
 * Inputs: the judged state of each back end, the lease, and the time of the step in milliseconds. Returns a list that stays
 * the same array until it changes, since placement policies keep what they derive from it.
 *
 * This module owns the groups of `service-groups.ts`: an index by service that is made once per configuration, so that an
 * open looks at no other service's back ends. It also keeps the changes of judged state until the daemon logs them.
 */
import { isLeaseHeld } from '../dissemination/lease.js';
import type { JudgementTransition } from '../health/judgement-state.js';
import { probesFail } from '../health/judgement-rules.js';
import { updateAdminState } from '../health/judgement.js';
import { isBackendUsable } from './backend-identity.js';
import type { BackendView } from './backend-view.js';
import type { BalancerState } from './balancer-state.js';
import {
  createGroup,
  type BackendChange,
  type ServiceGroup,
  type ServiceGroups,
} from './service-groups.js';

/**
 * In a large service the list of candidates is rebuilt at most this often, in milliseconds, so that many changes of state
 * in a row don't each cost a pass over all back ends. Not measured; too long if opens go to back ends that were just judged
 * down.
 */
const REBUILD_INTERVAL_MS = 20;
/** Number of back ends from which a service is large. Not measured. */
const LARGE_FROM = 256;

/** Changes of state that wait to be logged; further ones push out the oldest. */
const MAX_UNLOGGED_CHANGES = 1_000;

/**
 * @returns the back ends of the service under the configuration in force
 */
export function groupOf(state: BalancerState, serviceId: number, nowMs: number): ServiceGroup {
  if (state.groups.configIndex !== state.position.index) {
    rebuildGroups(state, nowMs);
  }
  return state.groups.byServiceId.get(serviceId) ?? createGroup();
}

/**
 * @returns the back ends that may receive a new flow: those that are ready, or where none is, those
 *   that are busy; the same array until that changes
 */
function candidatesOf(group: ServiceGroup, nowMs: number): readonly BackendView[] {
  const mayWait =
    group.candidates.length >= LARGE_FROM && nowMs - group.candidatesMadeAtMs < REBUILD_INTERVAL_MS;
  if (group.candidatesOutdated && !mayWait) {
    const ready = group.views.filter(({ judgement }) => judgement.state === 'ready');
    group.candidates =
      ready.length > 0 ? ready : group.views.filter(({ judgement }) => judgement.state === 'busy');
    group.candidatesOutdated = false;
    group.candidatesMadeAtMs = nowMs;
  }
  return group.candidates;
}

/**
 * @returns those candidates that packets may be sent to: all while the lease is held, else those that
 *   have confirmed their identity of late
 */
export function usableCandidatesOf(
  state: BalancerState,
  group: ServiceGroup,
  nowMs: number,
): readonly BackendView[] {
  const candidates = candidatesOf(group, nowMs);
  if (isLeaseHeld(state.subscription.lease, nowMs)) {
    return candidates;
  }
  const usable = candidates.filter((view) => isBackendUsable(state, view, nowMs));
  if (!isSameList(usable, group.usableCandidates)) {
    group.usableCandidates = usable;
  }
  return group.usableCandidates;
}

/**
 * Records a change of state for the log, and marks the list of candidates as outdated.
 * @param change undefined where there was none
 */
export function recordTransition(
  state: BalancerState,
  group: ServiceGroup,
  view: BackendView,
  change: JudgementTransition | undefined,
): void {
  if (change === undefined) {
    return;
  }
  group.candidatesOutdated = true;
  state.backendChanges.push({ backendId: view.backend.id, ...change });
  if (state.backendChanges.length > MAX_UNLOGGED_CHANGES) {
    state.backendChanges.shift();
  }
}

/**
 * @returns the changes of state since the last call, oldest first, for the log
 */
export function takeBackendChanges(state: BalancerState): BackendChange[] {
  return state.backendChanges.splice(0);
}

function rebuildGroups(state: BalancerState, nowMs: number): void {
  const { groups } = state;
  const previous = new Map(groups.byServiceId);
  groups.byServiceId.clear();
  groups.configIndex = state.position.index;
  for (const view of state.views.values()) {
    addToGroup(groups, view);
  }
  for (const [serviceId, group] of groups.byServiceId) {
    inheritGroup(state, group, previous.get(serviceId), nowMs);
  }
}

function addToGroup({ byServiceId }: ServiceGroups, view: BackendView): void {
  const { serviceId } = view.backend;
  const group = byServiceId.get(serviceId) ?? createGroup();
  group.views.push(view);
  byServiceId.set(serviceId, group);
}

/** Keeps the former list of candidates where it is unchanged, so that it stays the same array. */
function inheritGroup(
  state: BalancerState,
  group: ServiceGroup,
  previous: ServiceGroup | undefined,
  nowMs: number,
): void {
  const { views, judgements } = group;
  judgements.size = views.length;
  judgements.ejected = countWhere(views, ({ judgement }) => judgement.reason === 'opens-time-out');
  judgements.failingProbes = countWhere(views, ({ judgement }) => probesFail(judgement));
  for (const view of views) {
    const { judgement, backend } = view;
    if (judgement.adminState !== backend.adminState) {
      recordTransition(
        state,
        group,
        view,
        updateAdminState(judgement, backend.adminState, judgements, nowMs),
      );
    }
  }
  group.typicalUse = previous?.typicalUse ?? 0;
  if (previous !== undefined && isSameList(candidatesOf(group, nowMs), previous.candidates)) {
    group.candidates = previous.candidates;
  }
}

function countWhere(
  views: readonly BackendView[],
  condition: (view: BackendView) => boolean,
): number {
  return views.reduce((count, view) => count + Number(condition(view)), 0);
}

function isSameList(left: readonly BackendView[], right: readonly BackendView[]): boolean {
  return left.length === right.length && left.every((view, index) => view === right[index]);
}
