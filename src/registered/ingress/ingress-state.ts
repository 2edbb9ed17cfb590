/**
 * @file State and options of an ingress. Each part is created by its own factory and changed by these modules only:
 *
 * | part                                                 | changed by                                     |
 * | ---------------------------------------------------- | ---------------------------------------------- |
 * | `routes`, `configAssembly`, `fullSync`, `feedStatus` | `feed-step`                                    |
 * | `backends`, `peers`                                  | `feed-step`                                    |
 * | `peerKnowledge`, `heldConfig`                        | `feed-step`, `peer-feed`                       |
 * | `zones`                                              | `feed-step`, gossip from other balancers       |
 * | `opens`                                              | `open-step`, placements by other balancers     |
 * | `activities`                                         | `established-packet`, `open-step`, `sweep`     |
 * | `slowStart`, `placement`                             | `open-step`                                    |
 * | `livenessLog`                                        | `sweep`                                        |
 * | `stallDetector`, `isStopping`                        | the ingress process                            |
 *
 * Nothing is persisted; after a restart the balancer receives everything through its feed.
 */
import type { StallDetector } from '../../shared/common/stall-detector.js';
import type { MechanismSwitches } from '../decisions/mechanism-switches.js';
import { createOpenStallDetector } from '../decisions/open-admission.js';
import { createPlacement, type Placement } from '../decisions/placement.js';
import { createSlowStart, type SlowStartBounds, type SlowStart } from '../decisions/slow-start.js';
import { usableIdleTimeoutMs } from '../declared/idle-timeout.js';
import type { FeedTiming } from '../group/timing.js';
import { BackendTable } from './backend-table.js';
import { createConfigAssembly, type ConfigAssembly } from './config-assembly.js';
import { createFeedStatus, type FeedStatus } from './feed-status.js';
import { FlowActivities } from './flow-activity.js';
import { createFullSync, type FullSync } from './full-sync.js';
import { createLivenessLog, type LivenessLog } from './liveness-log.js';
import { OPEN_LIFETIME_MS, OpenMemory } from './open-memory.js';
import { createHeldConfig, type HeldConfig } from './peer-feed/held-config.js';
import { createPeerKnowledge, type PeerKnowledge } from './peer-feed/peer-knowledge.js';
import { createPeerTable, type PeerTable } from './peer-table.js';
import { RouteTable } from './route-table.js';
import { createZoneTable, type ZoneTable } from './zone-table.js';

/** Options of an ingress; all times in milliseconds. */
export interface IngressOptions {
  readonly name: string;
  readonly zone: string;
  /** Time between two heartbeats of a back end. */
  readonly heartbeatIntervalMs: number;
  /** Maximum lifetime of a flow. */
  readonly flowLifetimeMs: number;
  /** Timing of the feed, including the timeouts after which it moves to another control machine. */
  readonly feed: FeedTiming;
  /** Further flows are not tracked for placement. */
  readonly maxCountedFlows: number;
  readonly switches: MechanismSwitches;
  /** Limits on new flows to a cold back end; undefined for no limits. */
  readonly slowStartBounds?: SlowStartBounds | undefined;
}

/** The state of one ingress. */
export interface IngressState {
  readonly options: IngressOptions;
  readonly routes: RouteTable;
  /** Received parts of a newer configuration. */
  readonly configAssembly: ConfigAssembly;
  readonly fullSync: FullSync;
  readonly feedStatus: FeedStatus;
  readonly backends: BackendTable;
  /** The other balancers. */
  readonly peers: PeerTable;
  /** What is known from the peer that feeds this balancer. */
  readonly peerKnowledge: PeerKnowledge;
  /** The configuration that can be passed on to peers; undefined where peer feeds are off. */
  readonly heldConfig: HeldConfig | undefined;
  /** Evacuation state of zones. */
  readonly zones: ZoneTable;
  readonly opens: OpenMemory;
  readonly activities: FlowActivities;
  readonly slowStart: SlowStart;
  readonly placement: Placement;
  /** Last logged liveness of back ends. */
  readonly livenessLog: LivenessLog;
  readonly stallDetector: StallDetector;
  /** True once a graceful shutdown has begun. */
  readonly isStopping: boolean;
  beginStop(): void;
}

/**
 * @param isLinkFree returns true if packets are sent without queueing for the link of the machine
 * @returns the initial state of an ingress
 */
export function createIngressState(
  options: IngressOptions,
  isLinkFree: () => boolean = () => true,
): IngressState {
  const routes = new RouteTable({ requiresAttributes: options.switches.urgency === 'on' });
  const peers = createPeerTable(options.name);
  const zones = createZoneTable();
  const feedStatus = createFeedStatus(options.feed.freshMs);
  const slowStart = createSlowStart({
    bounds: options.slowStartBounds,
    heartbeatIntervalMs: options.heartbeatIntervalMs,
    zones,
    peers,
    warmUpOf: (service) => routes.config?.warmUps.get(service),
    isFeedCurrent: (nowMs) => feedStatus.isCurrent(nowMs),
  });
  let isStopping = false;

  return {
    options,
    routes,
    configAssembly: createConfigAssembly(),
    fullSync: createFullSync(),
    feedStatus,
    backends: new BackendTable(options.heartbeatIntervalMs, options.switches.starts),
    peers,
    peerKnowledge: createPeerKnowledge(),
    heldConfig: options.switches.peerFeed === 'on' ? createHeldConfig() : undefined,
    zones,
    opens: new OpenMemory(OPEN_LIFETIME_MS),
    activities: new FlowActivities(
      () => usableIdleTimeoutMs(routes.config?.idleTimeoutMs),
      options.maxCountedFlows,
      isLinkFree,
    ),
    slowStart,
    placement: createPlacement(options.zone, options.switches, slowStart),
    livenessLog: createLivenessLog(),
    stallDetector: createOpenStallDetector(),
    get isStopping() {
      return isStopping;
    },
    beginStop: () => {
      isStopping = true;
    },
  };
}

/** @returns true if the state received through the feed is current */
export function isFeedCurrent(state: IngressState, nowMs: number): boolean {
  return state.feedStatus.isCurrent(nowMs);
}

/**
 * @returns true if this balancer can take new flows: it has been current, has a configuration and is not stopping. A
 *   balancer that loses its feed later stays ready.
 */
export function isReady(state: IngressState): boolean {
  const hasState =
    state.feedStatus.firstCurrentAtMs !== undefined && state.routes.config !== undefined;
  return hasState && !state.isStopping;
}
