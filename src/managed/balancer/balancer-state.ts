/**
 * @file The state of a balancer: current configuration, derived tables, back end views and pending opens. Its size does
 * not depend on the number of established flows. Each part is changed only by the modules listed:
 *
 * - configuration and tables: `config-tables.ts`; groups and state changes to log: `candidates.ts`;
 * - views: `backend-evidence.ts`; their confirmed identity: `backend-identity.ts`;
 * - pending opens: `open-handling.ts` and `open-attempts.ts`; limits: `limits/open-limits.ts`;
 * - subscription, publisher, gossip, fleet: `control-links.ts`; probes and shared results: `shared-health.ts`.
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
import { createSubscription, type SubscriptionState } from '../dissemination/subscription-state.js';
import { createTraffic, type Traffic } from '../dissemination/traffic.js';
import type { PreparedTokenKey } from '../flow/token.js';
import { createGossipState, type GossipState } from '../gossip/gossip-state.js';
import { createHealthSharing, type HealthSharing } from '../health/health-sharing.js';
import { createProbeSchedule, type ProbeSchedule } from '../health/probe-schedule.js';
import type { ProberGroup } from '../health/prober-selection.js';
import { createOpenLimits, type OpenLimitsState } from '../limits/open-limits.js';
import type { PlacementPolicy } from '../routing/placement-policy.js';
import type { BackendView } from './backend-view.js';
import type { BalancerOptions } from './balancer-options.js';
import type { OpenLatencies } from './open-latencies.js';
import type { PendingOpen } from './pending-open.js';
import { createServiceGroups, type BackendChange, type ServiceGroups } from './service-groups.js';

/** Number of live balancers, as seen by this one. */
interface FleetSize {
  /** All live balancers, this one included. */
  balancerCount: number;
  /** Live balancers in this one's zone, this one included. */
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
  /** State changes of back ends that are not logged yet. */
  readonly backendChanges: BackendChange[];
  readonly fleet: FleetSize;
  readonly policies: Map<PlacementPolicyName, PlacementPolicy>;
  readonly pendingOpens: Map<string, PendingOpen>;
  readonly limits: OpenLimitsState;
  readonly openLatencies: OpenLatencies;
  /** Number of dropped datagrams and refused opens by error kind. */
  readonly errorCounts: Map<ErrorKind, number>;
  readonly subscription: SubscriptionState;
  /** Distributes the configuration to downstream balancers. */
  readonly publisher: PublisherState;
  readonly gossip: GossipState | undefined;
  /** Version of the member list that the link plan was made for. */
  linkPlanVersion: number;
  /** Traffic of the control plane; counted by the daemon on sending and receiving. */
  readonly traffic: Traffic;
  readonly probes: ProbeSchedule;
  /** Balancers that share the probing, for one version of the member list. */
  readonly probers: { group: ProberGroup; plannedVersion: number };
  readonly sharing: HealthSharing;
  /** When probe results were last sent to other balancers. */
  resultsSharedAtMs: number;
  nextFleetCountAtMs: number;
  lastHealthTickAtMs: number | undefined;
  /** Probe results from other balancers are ignored until this time. */
  ignoreSharedResultsUntilMs: number;
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
    gossip: gossip && createGossipState({ ...gossip, id: balancerId, zone }),
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
    lastHealthTickAtMs: undefined,
    ignoreSharedResultsUntilMs: 0,
    forwardedPackets: 0,
    acceptedOpens: 0,
    stopping: false,
  };
}

/**
 * Adds one to the error counter of this kind.
 */
export function countError(state: BalancerState, kind: ErrorKind): void {
  state.errorCounts.set(kind, (state.errorCounts.get(kind) ?? 0) + 1);
}
