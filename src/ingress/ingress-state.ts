/**
 * @file The state of a balancer that forwards by 32-bit tokens, and its options.
 */
import { BackendTable } from './backend-table.js';
import { FlowActivities } from './flow-activity.js';
import { OpenMemory } from './open-memory.js';
import type { PlacementOptions } from './placement.js';
import { RouteTable } from './route-table.js';

/** Options of a balancer; all times in milliseconds. */
export interface IngressOptions extends PlacementOptions {
  readonly name: string;
  /** A flow does not live longer. */
  readonly flowLifetimeMs: number;
  /** What was told counts as current for so long. */
  readonly feedFreshMs: number;
}

/** How long copies of an open may come after the first. */
const OPEN_LIFETIME_MS = 2_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** The state of one balancer. */
export interface IngressState {
  readonly options: IngressOptions;
  readonly routes: RouteTable;
  readonly backends: BackendTable;
  readonly opens: OpenMemory;
  readonly activities: FlowActivities;
  /** When a control machine last said that what it tells is current; undefined for never. */
  currentAtMs: number | undefined;
  /** When it said so first. */
  firstCurrentAtMs: number | undefined;
  isStopping: boolean;
  /** Reports of other balancers, by their names. */
  readonly reports: Map<string, LoadReport>;
  hasPeers: boolean;
}

/** What another balancer carries. */
export interface LoadReport {
  readonly loads: readonly BackendLoadReport[];
  readonly heardAtMs: number;
}

/** Load of one back end at one balancer. */
export interface BackendLoadReport {
  readonly token: number;
  readonly busy: number;
  readonly flows: number;
}

/**
 * @returns the state of a balancer that starts and knows nothing
 */
export function createIngressState(options: IngressOptions): IngressState {
  const routes = new RouteTable();
  return {
    options,
    routes,
    backends: new BackendTable(),
    opens: new OpenMemory(OPEN_LIFETIME_MS),
    activities: new FlowActivities(() => routes.config?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS),
    currentAtMs: undefined,
    firstCurrentAtMs: undefined,
    isStopping: false,
    reports: new Map(),
    hasPeers: false,
  };
}

/**
 * @returns true where what this balancer knows was current a moment ago
 */
export function knowsCurrent(state: IngressState, nowMs: number): boolean {
  return state.currentAtMs !== undefined && nowMs - state.currentAtMs <= state.options.feedFreshMs;
}

/**
 * @returns true where new flows may be sent here: the configuration was current at least once, and this
 *   balancer does not stop. One that is cut off later goes on with what it knows.
 */
export function isReady(state: IngressState): boolean {
  const hasState = state.firstCurrentAtMs !== undefined && state.routes.config !== undefined;
  return hasState && !state.isStopping;
}
