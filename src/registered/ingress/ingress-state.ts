/**
 * @file The state of a balancer that forwards by 32-bit tokens, and its options.
 */
import type { FeedTiming } from '../group/timing.js';
import { createConfigAssembly, type ConfigAssembly } from './config-assembly.js';
import { createSlowStart, type SlowStartBounds, type SlowStart } from '../decisions/slow-start.js';
import { createFeedStatus, type FeedStatus } from './feed-status.js';
import { createFullSync, type FullSync } from './full-sync.js';
import { createLivenessLog, type LivenessLog } from './liveness-log.js';
import { createZoneTable, type ZoneTable } from './zone-table.js';
import { BackendTable } from './backend-table.js';
import { FlowActivities } from './flow-activity.js';
import { OpenMemory } from './open-memory.js';
import { createPeerTable, type PeerTable } from './peer-table.js';
import { createPlacement, type Placement } from '../decisions/placement.js';
import type { MechanismSwitches } from '../decisions/mechanism-switches.js';
import { RouteTable } from './route-table.js';
import { createStallGuard, type StallGuard } from '../../shared/common/stall-guard.js';

/** Options of a balancer; all times in milliseconds. */
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

/** How long copies of an open may come after the first. */
const OPEN_LIFETIME_MS = 2_000;
/**
 * Turns are at most a tick of 100 ms apart, and clients send a first copy after some 200 ms: an open that waited for
 * less has no copy elsewhere. With 300 ms, simulated balancers that stood still for 150 to 350 ms again and again
 * placed opens of which another one had placed the copy.
 */
const OPEN_STALL_MS = 150;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Counting flows may take this part of the memory of a process. */
const COUNTED_FLOWS_SHARE = 0.25;
/** What one counted flow takes; measured 199 bytes by the heap with 100,000. */
const BYTES_PER_COUNTED_FLOW = 300;
const MAX_COUNTED_FLOWS = 100_000;
const BYTES_PER_MB = 1_000_000;

/**
 * @param memoryMb what the process may take, in megabytes; undefined for no bound
 * @returns how many flows a balancer counts for placement
 */
export function countedFlowsFor(memoryMb: number | undefined): number {
  const budgetBytes = (memoryMb ?? Number.POSITIVE_INFINITY) * BYTES_PER_MB * COUNTED_FLOWS_SHARE;
  return Math.min(MAX_COUNTED_FLOWS, Math.floor(budgetBytes / BYTES_PER_COUNTED_FLOW));
}

/** The state of one balancer. */
export interface IngressState {
  readonly options: IngressOptions;
  readonly routes: RouteTable;
  /** The parts of a newer configuration that have come. */
  readonly assembly: ConfigAssembly;
  readonly fullSync: FullSync;
  readonly backends: BackendTable;
  readonly opens: OpenMemory;
  readonly activities: FlowActivities;
  readonly feedStatus: FeedStatus;
  /** What the logs have said of back ends. */
  readonly livenessLog: LivenessLog;
  /** True once a planned stop has begun. */
  readonly isStopping: boolean;
  beginStop(): void;
  readonly peers: PeerTable;
  /** Which zones take no new flows. */
  readonly zones: ZoneTable;
  readonly slowStart: SlowStart;
  readonly placement: Placement;
  readonly stallGuard: StallGuard;
}

/**
 * @param isLinkFree says whether packets leave at once, or wait for the link of the machine
 * @returns the state of a balancer that starts and knows nothing
 */
export function createIngressState(
  options: IngressOptions,
  isLinkFree: () => boolean = () => true,
): IngressState {
  const routes = new RouteTable();
  const peers = createPeerTable(options.name);
  const zones = createZoneTable();
  const feedStatus = createFeedStatus(options.feed.freshMs);
  let isStopping = false;
  const slowStart = createSlowStart({
    bounds: options.slowStartBounds,
    heartbeatIntervalMs: options.heartbeatIntervalMs,
    zones,
    peers,
    warmUpOf: (service) => routes.config?.warmUps.get(service),
    knowsOthers: (nowMs) => feedStatus.isCurrent(nowMs),
  });
  return {
    options,
    routes,
    assembly: createConfigAssembly(),
    fullSync: createFullSync(),
    backends: new BackendTable(options.heartbeatIntervalMs),
    opens: new OpenMemory(OPEN_LIFETIME_MS),
    activities: new FlowActivities(
      () => routes.config?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      options.maxCountedFlows,
      isLinkFree,
    ),
    feedStatus,
    livenessLog: createLivenessLog(),
    get isStopping() {
      return isStopping;
    },
    beginStop: () => {
      isStopping = true;
    },
    peers,
    zones,
    slowStart,
    placement: createPlacement(options.zone, options.switches, slowStart),
    stallGuard: createStallGuard({ stallMs: OPEN_STALL_MS, rememberedMs: OPEN_LIFETIME_MS }),
  };
}

/**
 * @returns true where what this balancer knows was current a moment ago
 */
export function knowsCurrent(state: IngressState, nowMs: number): boolean {
  return state.feedStatus.isCurrent(nowMs);
}

/**
 * @returns true where new flows may be sent here: the configuration was current at least once, and this
 *   balancer does not stop. One that is cut off later goes on with what it knows.
 */
export function isReady(state: IngressState): boolean {
  const hasState =
    state.feedStatus.firstCurrentAtMs !== undefined && state.routes.config !== undefined;
  return hasState && !state.isStopping;
}
