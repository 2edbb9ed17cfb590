/**
 * @file The state of a balancer: the configuration in force, tables derived from it, what is known of each back end,
 * and pending opens. Nothing here grows with established flows. Each part is changed by one module:
 *
 * - configuration and tables: `config-tables.ts`; groups and changes to log: `candidates.ts`;
 * - views: `backend-evidence.ts`, their identity `backend-identity.ts`;
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

/** How many balancers share the traffic, by what this one knows. */
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
  /** For the balancers that are linked to this one. */
  readonly publisher: PublisherState;
  readonly gossip: GossipState | undefined;
  /** Version of the members for which the links were planned last. */
  linkPlanVersion: number;
  /** Messages of the control plane; counted by the daemon where it sends and receives them. */
  readonly traffic: Traffic;
  readonly probes: ProbeSchedule;
  /** The balancers that share the probes, as of a version of the members. */
  readonly probers: { group: ProberGroup; plannedVersion: number };
  readonly sharing: HealthSharing;
  /** When results were last sent to others. */
  resultsSharedAtMs: number;
  nextFleetCountAtMs: number;
  healthTickAtMs: number | undefined;
  /** Until this time other balancers' results are ignored. */
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
