/**
 * @file The state of a balancer: the configuration in force, tables derived from it, what is known
 * of each back end, and pending opens. Nothing here grows with established flows.
 */
import type { AddressKey } from '../../shared/common/address.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import type { ConfigPosition } from '../control/config-delta.js';
import {
  emptyRoutingConfig,
  type PlacementPolicyName,
  type RoutingConfig,
  type Service,
} from '../control/routing-config.js';
import { createPublisher, type PublisherState } from '../dissemination/publisher.js';
import { createSubscription, type SubscriptionState } from '../dissemination/subscription.js';
import { createTraffic, type Traffic } from '../dissemination/traffic.js';
import type { PreparedTokenKey } from '../flow/token.js';
import { createGossip, type GossipState } from '../gossip/gossip-state.js';
import { createHealthSharing, type HealthSharing } from '../health/health-sharing.js';
import {
  createProbeSchedule,
  type ProberGroup,
  type ProbeSchedule,
} from '../health/probe-schedule.js';
import { createOpenLimits, type OpenLimitsState } from '../limits/open-limits.js';
import type { PlacementPolicy } from '../routing/placement-policy.js';
import type { BackendView } from './backend-view.js';
import type { BalancerOptions } from './balancer-options.js';
import type { OpenLatencies } from './open-latencies.js';
import type { PendingOpen } from './pending-open.js';
import { createServiceGroups, type BackendChange, type ServiceGroups } from './service-groups.js';

/** How many balancers share the traffic, as far as this one knows. */
interface FleetSize {
  /** All live balancers, this one included. */
  balancerCount: number;
  /** Those of this one's zone, this one included. */
  localBalancerCount: number;
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
