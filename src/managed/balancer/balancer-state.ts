/**
 * @file The state of a balancer: the configuration in force, tables derived from it, what is known
 * of each back end, and pending opens. Nothing here grows with established flows.
 */
import { match } from 'ts-pattern';
import { addressKey, type Address, type AddressKey } from '../../shared/common/address.js';
import {
  emptyRoutingConfig,
  type Backend,
  type PlacementPolicyName,
  type RoutingConfig,
  type Service,
} from '../control/routing-config.js';
import {
  applyConfigChange,
  isNewerPosition,
  type ConfigChange,
  type ConfigPosition,
  type ConfigUpdate,
} from '../control/config-delta.js';
import { mayUseBackend } from '../dissemination/lease.js';
import { createPublisher, type PublisherState } from '../dissemination/publisher.js';
import { createSubscription, type SubscriptionState } from '../dissemination/subscription.js';
import { createTraffic, type Traffic } from '../dissemination/traffic.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import { prepareTokenKey, type PreparedTokenKey } from '../flow/token.js';
import type { ProbeResult } from '../health/backend-report.js';
import { createHealthSharing, forgetResult, type HealthSharing } from '../health/health-sharing.js';
import {
  createProbeSchedule,
  removeProbeTarget,
  setProbeTarget,
  type ProberGroup,
  type ProbeSchedule,
} from '../health/probe-schedule.js';
import { createOpenLimits, type OpenLimitsState } from '../limits/open-limits.js';
import { createGossip, type GossipOptions, type GossipState } from '../gossip/gossip-state.js';
import type { PlacementPolicy } from '../routing/placement-policy.js';
import { createPolicy } from '../routing/policy-registry.js';
import { createBackendView, type BackendView } from './backend-view.js';
import type { OpenLatencies } from './open-latencies.js';
import { createServiceGroups, type BackendChange, type ServiceGroups } from './service-groups.js';

/** Options of a balancer; times in milliseconds. */
export interface BalancerOptions {
  readonly balancerId: string;
  readonly zone: string;
  /** Bound of the open table; opens beyond it are refused as `overloaded`. Default 20,000. */
  readonly maxPendingOpens: number;
  /** Opens a second that the balancer takes, shared among owners. Default 20,000. */
  readonly maxOpensPerSecond: number;
  /** How long one back end may take to answer an open. Default 200. */
  readonly openAttemptTimeoutMs: number;
  /** How many back ends an open is tried on. Default 3. */
  readonly maxOpenAttempts: number;
  /** Time between two health probes of a back end. Default 500. */
  readonly probeIntervalMs: number;
  readonly controlAddresses: readonly Address[];
  readonly clusterKey: string;
  /** Absent where the balancer takes no part in membership; then it links to control machines only. */
  readonly gossip?: Omit<GossipOptions, 'id' | 'zone'>;
}

/** Options that apply where settings give none. */
export const defaultBalancerOptions = {
  maxPendingOpens: 20_000,
  maxOpensPerSecond: 20_000,
  openAttemptTimeoutMs: 200,
  maxOpenAttempts: 3,
  probeIntervalMs: 500,
} as const;

/** How many balancers share the traffic, as far as this one knows. */
interface FleetSize {
  /** All live balancers, this one included. */
  balancerCount: number;
  /** Those of this one's zone, this one included. */
  localBalancerCount: number;
}

/** An open that waits for a back end's answer. */
export interface PendingOpen {
  readonly key: string;
  readonly flowId: Uint8Array;
  readonly client: Address;
  readonly service: Service;
  /** Where the fabric takes the answer. */
  readonly replyTo: Address;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Back ends tried, the present one last. */
  readonly triedBackendIds: number[];
  attemptEndsAtMs: number;
}

/** The state of a balancer. */
export interface BalancerState {
  readonly options: BalancerOptions;
  readonly config: RoutingConfig;
  position: ConfigPosition;
  readonly servicesByAddress: Map<AddressKey, Service>;
  readonly preparedKeys: Map<number, PreparedTokenKey>;
  currentKeyId: number | undefined;
  readonly views: Map<number, BackendView>;
  readonly groups: ServiceGroups;
  /** Changes of judged states that are not yet logged. */
  readonly backendChanges: BackendChange[];
  readonly fleet: FleetSize;
  readonly policies: Map<PlacementPolicyName, PlacementPolicy>;
  readonly pendingOpens: Map<string, PendingOpen>;
  readonly limits: OpenLimitsState;
  readonly openLatencies: OpenLatencies;
  /** Datagrams and opens that ended in each error kind. */
  readonly errorCounts: Map<ErrorKind, number>;
  readonly subscription: SubscriptionState;
  /** Passes the configuration on to balancers that are linked to this one. */
  readonly publisher: PublisherState;
  readonly gossip: GossipState | undefined;
  /** Version of the members for which the links were planned last. */
  linkPlanVersion: number;
  /** Messages of the control plane; counted by whoever sends and receives them. */
  readonly traffic: Traffic;
  readonly probes: ProbeSchedule;
  /** The balancers that share the probes, as of a version of the members. */
  readonly probers: { group: ProberGroup; plannedVersion: number };
  readonly sharing: HealthSharing;
  /** When results were last told to others. */
  resultsSharedAtMs: number;
  nextFleetCountAtMs: number;
  healthTickAtMs: number | undefined;
  /** Before this time other balancers' results are not taken. */
  distrustUntilMs: number;
  forwardedPackets: number;
  acceptedOpens: number;
  stopping: boolean;
}

/**
 * @returns the state of a balancer that has no configuration yet
 */
export function createBalancerState(options: BalancerOptions): BalancerState {
  const { balancerId, zone, clusterKey, gossip } = options;
  const subscription = createSubscription(options);
  return {
    options,
    config: emptyRoutingConfig(),
    position: { term: 0, index: 0 },
    servicesByAddress: new Map(),
    preparedKeys: new Map(),
    currentKeyId: undefined,
    views: new Map(),
    groups: createServiceGroups(),
    backendChanges: [],
    fleet: { balancerCount: 1, localBalancerCount: 1 },
    policies: new Map(),
    pendingOpens: new Map(),
    limits: createOpenLimits(),
    openLatencies: { histogram: undefined },
    errorCounts: new Map(),
    subscription,
    publisher: createPublisher(clusterKey, { type: 'held', lease: subscription.lease }),
    gossip: gossip && createGossip({ ...gossip, id: balancerId, zone }),
    linkPlanVersion: -1,
    traffic: createTraffic(),
    probes: createProbeSchedule(options.probeIntervalMs, zone),
    probers: {
      group: { selfId: balancerId, ids: [balancerId], version: -1 },
      plannedVersion: -1,
    },
    sharing: createHealthSharing(),
    resultsSharedAtMs: 0,
    nextFleetCountAtMs: 0,
    healthTickAtMs: undefined,
    distrustUntilMs: 0,
    forwardedPackets: 0,
    acceptedOpens: 0,
    stopping: false,
  };
}

/**
 * Counts one error.
 */
export function countError(state: BalancerState, kind: ErrorKind): void {
  state.errorCounts.set(kind, (state.errorCounts.get(kind) ?? 0) + 1);
}

/**
 * @returns the policy of that name, one instance per balancer
 */
export function policyFor(state: BalancerState, name: PlacementPolicyName): PlacementPolicy {
  const existing = state.policies.get(name);
  if (existing !== undefined) {
    return existing;
  }
  const policy = createPolicy(name);
  state.policies.set(name, policy);
  return policy;
}

/**
 * Notes which back end answered a probe. What it says holds from when it was asked: an answer may have
 * waited while this process was paused.
 */
export function recordIdentity(
  state: BalancerState,
  { backendId, health }: ProbeResult,
  startedAtMs: number | undefined,
): void {
  const view = state.views.get(backendId);
  if (view === undefined || health?.backendId === undefined) {
    return;
  }
  view.identityConfirmedAtMs =
    health.backendId === backendId ? (startedAtMs ?? -Infinity) : -Infinity;
}

/**
 * @returns true where packets may be sent to the back end, see `mayUseBackend`
 */
export function isBackendUsable(state: BalancerState, view: BackendView, nowMs: number): boolean {
  return mayUseBackend(state.subscription.lease, view.identityConfirmedAtMs, nowMs);
}

/**
 * Takes a configuration update where it is newer and, for a delta, follows on what is in force.
 * @returns true where it was taken
 */
export function applyConfigUpdate(state: BalancerState, update: ConfigUpdate): boolean {
  if (!isNewerPosition(update.to, state.position)) {
    return false;
  }
  if (update.type === 'delta' && update.from.index !== state.position.index) {
    return false;
  }
  if (update.type === 'snapshot') {
    replaceConfig(state.config, update);
    rebuildTables(state);
  } else {
    update.changes.forEach((change) => applyChange(state, change));
  }
  state.position = update.to;
  return true;
}

/** Changes the configuration and what is derived from it; the rest of the tables is not looked at. */
function applyChange(state: BalancerState, change: ConfigChange): void {
  const { config } = state;
  if (change.type === 'service-set') {
    removeServiceAddress(state, change.service.id);
    state.servicesByAddress.set(addressKey(change.service.address), change.service);
  } else if (change.type === 'service-removed') {
    removeServiceAddress(state, change.serviceId);
  }
  applyConfigChange(config, change);
  match(change)
    .with({ type: 'backend-set' }, ({ backend }) => setView(state, backend))
    .with({ type: 'backend-removed' }, ({ backendId }) => deleteView(state, backendId))
    .with({ type: 'key-set' }, { type: 'key-removed' }, () => rebuildKeys(state))
    .with({ type: 'service-set' }, { type: 'service-removed' }, () => undefined)
    .exhaustive();
}

/** Another service may have taken the address already. */
function removeServiceAddress(state: BalancerState, serviceId: number): void {
  const known = state.config.services.get(serviceId);
  const key = known === undefined ? undefined : addressKey(known.address);
  if (key !== undefined && state.servicesByAddress.get(key)?.id === serviceId) {
    state.servicesByAddress.delete(key);
  }
}

function replaceConfig(
  config: RoutingConfig,
  snapshot: Extract<ConfigUpdate, { type: 'snapshot' }>,
): void {
  config.services.clear();
  config.backends.clear();
  config.keys.clear();
  snapshot.services.forEach((service) => config.services.set(service.id, service));
  snapshot.backends.forEach((backend) => config.backends.set(backend.id, backend));
  snapshot.keys.forEach((key) => config.keys.set(key.id, key));
}

function rebuildTables(state: BalancerState): void {
  state.servicesByAddress.clear();
  for (const service of state.config.services.values()) {
    state.servicesByAddress.set(addressKey(service.address), service);
  }
  rebuildKeys(state);
  rebuildViews(state);
}

function rebuildKeys(state: BalancerState): void {
  state.preparedKeys.clear();
  state.currentKeyId = undefined;
  for (const key of state.config.keys.values()) {
    state.preparedKeys.set(key.id, prepareTokenKey(key.secret));
    if (key.state === 'current') {
      state.currentKeyId = key.id;
    }
  }
}

function rebuildViews(state: BalancerState): void {
  for (const id of state.views.keys()) {
    if (!state.config.backends.has(id)) {
      deleteView(state, id);
    }
  }
  for (const backend of state.config.backends.values()) {
    setView(state, backend);
  }
}

function deleteView(state: BalancerState, backendId: number): void {
  state.views.delete(backendId);
  removeProbeTarget(state.probes, backendId);
  forgetResult(state.sharing, backendId);
}

function setView(state: BalancerState, backend: Backend): void {
  setProbeTarget(state.probes, backend);
  const view = state.views.get(backend.id);
  if (view === undefined) {
    state.views.set(backend.id, createBackendView(backend));
  } else {
    view.backend = backend;
  }
}
