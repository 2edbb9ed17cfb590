/**
 * @file The state of an ingress and its options. Each part is made here by its factory and changed by one module:
 *
 * | part                                               | changed by                                       |
 * | -------------------------------------------------- | ------------------------------------------------ |
 * | `routes`, `assembly`, `fullSync`, `feedStatus`     | `feed-step`, as messages of the feed are applied |
 * | `backends`, `peers`                                | the same                                         |
 * | `zones`                                            | the same, and orders that other balancers know   |
 * | `opens`                                            | `open-step`, and placements of other balancers   |
 * | `activities`                                       | `established-packet`, `open-step`, the sweep     |
 * | `slowStart`, `placement`                           | `open-step`                                      |
 * | `livenessLog`                                      | the sweep                                        |
 * | `stallGuard`, `isStopping`                         | the process around it                            |
 *
 * None of it is durable: a balancer that starts learns all from its feed.
 */
import type { StallDetector } from '../../shared/common/stall-guard.js';
import type { MechanismSwitches } from '../decisions/mechanism-switches.js';
import { createOpenStallGuard } from '../decisions/open-admission.js';
import { createPlacement, type Placement } from '../decisions/placement.js';
import { createSlowStart, type SlowStartBounds, type SlowStart } from '../decisions/slow-start.js';
import type { FeedTiming } from '../group/timing.js';
import { BackendTable } from './backend-table.js';
import { createConfigAssembly, type ConfigAssembly } from './config-assembly.js';
import { createFeedStatus, type FeedStatus } from './feed-status.js';
import { FlowActivities } from './flow-activity.js';
import { createFullSync, type FullSync } from './full-sync.js';
import { createLivenessLog, type LivenessLog } from './liveness-log.js';
import { OPEN_LIFETIME_MS, OpenMemory } from './open-memory.js';
import { createPeerTable, type PeerTable } from './peer-table.js';
import { RouteTable } from './route-table.js';
import { createZoneTable, type ZoneTable } from './zone-table.js';

/** Options of an ingress; all times in milliseconds. */
export interface IngressOptions {
  readonly name: string;
  readonly zone: string;
  /** Time between two heartbeats of a back end. */
  readonly heartbeatIntervalMs: number;
  /** A flow does not live longer. */
  readonly flowLifetimeMs: number;
  /** When the control machine that feeds it is given up. */
  readonly feed: FeedTiming;
  /** Flows beyond this number are not counted for placement. */
  readonly maxCountedFlows: number;
  readonly switches: MechanismSwitches;
  /** What a cold back end may be given; undefined where the deployment does not bound it. */
  readonly slowStartBounds?: SlowStartBounds | undefined;
}

/** The state of one ingress. */
export interface IngressState {
  readonly options: IngressOptions;
  /** The configuration in force. */
  readonly routes: RouteTable;
  /** The parts of a newer configuration that have come. */
  readonly assembly: ConfigAssembly;
  readonly fullSync: FullSync;
  readonly feedStatus: FeedStatus;
  readonly backends: BackendTable;
  /** The other balancers. */
  readonly peers: PeerTable;
  /** Which zones take no new flows. */
  readonly zones: ZoneTable;
  readonly opens: OpenMemory;
  readonly activities: FlowActivities;
  readonly slowStart: SlowStart;
  readonly placement: Placement;
  /** What the logs have said of back ends. */
  readonly livenessLog: LivenessLog;
  readonly stallGuard: StallDetector;
  /** True once a planned stop has begun. */
  readonly isStopping: boolean;
  beginStop(): void;
}

/** A flow at rest is forgotten after so long, in milliseconds, while no configuration says otherwise. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/**
 * @param isLinkFree says whether packets leave at once, or wait for the link of the machine
 * @returns the state of an ingress that starts and knows nothing
 */
export function createIngressState(
  options: IngressOptions,
  isLinkFree: () => boolean = () => true,
): IngressState {
  const routes = new RouteTable();
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
    assembly: createConfigAssembly(),
    fullSync: createFullSync(),
    feedStatus,
    backends: new BackendTable(options.heartbeatIntervalMs, options.switches.starts),
    peers,
    zones,
    opens: new OpenMemory(OPEN_LIFETIME_MS),
    activities: new FlowActivities(
      () => routes.config?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      options.maxCountedFlows,
      isLinkFree,
    ),
    slowStart,
    placement: createPlacement(options.zone, options.switches, slowStart),
    livenessLog: createLivenessLog(),
    stallGuard: createOpenStallGuard(),
    get isStopping() {
      return isStopping;
    },
    beginStop: () => {
      isStopping = true;
    },
  };
}

/** @returns true where what this balancer knows was current a moment ago */
export function knowsCurrent(state: IngressState, nowMs: number): boolean {
  return state.feedStatus.isCurrent(nowMs);
}

/**
 * @returns true where new flows may be sent here: this balancer was current at least once, has a configuration, and does
 *   not stop. One that is cut off later goes on with what it knows.
 */
export function isReady(state: IngressState): boolean {
  const hasState =
    state.feedStatus.firstCurrentAtMs !== undefined && state.routes.config !== undefined;
  return hasState && !state.isStopping;
}
