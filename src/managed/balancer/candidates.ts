/**
 * @file Selects the back ends of a service that may receive new flows: all ready ones, or all busy ones if none is
 * ready. A candidate list stays the same array until it changes, because placement policies cache data for it.
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

/** Limits how often the candidates of a large service are rebuilt, as each rebuild iterates over all back ends. */
const MIN_REBUILD_INTERVAL_MS = 20;
/** Minimum number of candidates for a service to count as large. */
const LARGE_SERVICE_MIN_CANDIDATES = 256;

/** Maximum number of state changes queued for the log; the oldest are dropped. */
const MAX_UNLOGGED_CHANGES = 1_000;

/**
 * @returns the back ends of the service in the current configuration
 */
export function groupOf(state: BalancerState, serviceId: number, nowMs: number): ServiceGroup {
  if (state.groups.configIndex !== state.position.index) {
    rebuildGroups(state, nowMs);
  }
  return state.groups.byServiceId.get(serviceId) ?? createGroup();
}

/** Ready back ends, or busy ones if none is ready; the same array until the candidates change. */
function candidatesOf(group: ServiceGroup, nowMs: number): readonly BackendView[] {
  const canReuseList =
    group.candidates.length >= LARGE_SERVICE_MIN_CANDIDATES &&
    nowMs - group.candidatesBuiltAtMs < MIN_REBUILD_INTERVAL_MS;
  if (group.candidatesOutdated && !canReuseList) {
    const ready = group.views.filter(({ judgement }) => judgement.state === 'ready');
    group.candidates =
      ready.length > 0 ? ready : group.views.filter(({ judgement }) => judgement.state === 'busy');
    group.candidatesOutdated = false;
    group.candidatesBuiltAtMs = nowMs;
  }
  return group.candidates;
}

/**
 * @returns the candidates that packets may be sent to: all while the lease is held, otherwise those that recently
 *   confirmed their identity
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
 * Queues a state change for the log and marks the candidates as outdated.
 * @param change undefined if the state did not change
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
 * @returns the state changes since the last call, oldest first; they are removed from the queue
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
    initializeGroup(state, group, previous.get(serviceId), nowMs);
  }
}

function addToGroup({ byServiceId }: ServiceGroups, view: BackendView): void {
  const { serviceId } = view.backend;
  const group = byServiceId.get(serviceId) ?? createGroup();
  group.views.push(view);
  byServiceId.set(serviceId, group);
}

/** Reuses the previous candidates array if its contents are unchanged. */
function initializeGroup(
  state: BalancerState,
  group: ServiceGroup,
  previous: ServiceGroup | undefined,
  nowMs: number,
): void {
  const { views, judgements } = group;
  judgements.size = views.length;
  judgements.ejected = countMatching(
    views,
    ({ judgement }) => judgement.reason === 'opens-time-out',
  );
  judgements.failingProbes = countMatching(views, ({ judgement }) => probesFail(judgement));
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
  group.smoothedUtilization = previous?.smoothedUtilization ?? 0;
  if (previous !== undefined && isSameList(candidatesOf(group, nowMs), previous.candidates)) {
    group.candidates = previous.candidates;
  }
}

function countMatching(
  views: readonly BackendView[],
  condition: (view: BackendView) => boolean,
): number {
  return views.reduce((count, view) => count + Number(condition(view)), 0);
}

function isSameList(left: readonly BackendView[], right: readonly BackendView[]): boolean {
  return left.length === right.length && left.every((view, index) => view === right[index]);
}
