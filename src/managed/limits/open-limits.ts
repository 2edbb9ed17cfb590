/**
 * @file Is an open from a caller admitted? Three bounds, in this order:
 *
 * 1. pending opens of the owner: `maxPendingOpens` in equal parts, without borrowing, since an open is pending only for
 *    milliseconds;
 * 2. opens a second of the service, where it has a limit: the cluster's limit over the live balancers;
 * 3. opens a second of the owner (`owner-shares.ts`).
 *
 * What is refused is refused at once, with the time in milliseconds after which to retry. A refused open never ran. Owns the
 * counts of pending opens, the buckets and the retry budgets of all services, and the counters that metrics show.
 */
import type { Service } from '../control/routing-config.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import { createOwnerShares, takeFromShare, type OwnerShares } from './owner-shares.js';
import {
  addToRetryBudget,
  createRetryBudget,
  takeRetry,
  type RetryBudget,
} from './retry-budget.js';
import {
  createTokenBucket,
  fillBucket,
  nextTokenInMs,
  takeToken,
  type TokenBucket,
  type TokenRate,
} from './token-bucket.js';

/**
 * Burst of a service, in seconds of its rate. Not measured; too small if a service below its limit sees
 * `rate-limited`.
 */
const SERVICE_BURST_SECONDS = 1;
/**
 * When a caller retries where no rate says it, in milliseconds; spread at random up to twice as long. Not measured; too
 * short if the metric `amberlift_errors_total{kind="overloaded"}` stays high after a surge has ended.
 */
export const OVERLOAD_RETRY_AFTER_MS = 500;

/** The limits that hold for a whole balancer. */
interface BalancerOpenLimits {
  /** Bound of pending opens; each owner has an equal part. */
  readonly maxPendingOpens: number;
  /** Opens a second; each owner has an equal part, and what others leave unused. */
  readonly maxOpensPerSecond: number;
}

/** The state of all limits of one balancer. */
export interface OpenLimitsState {
  /** Log index of the configuration that `owners` is of; undefined before the first. */
  configIndex: number | undefined;
  /** Owners of all services in force. */
  owners: ReadonlySet<string>;
  /** Pending opens by owner. */
  readonly pendingByOwner: Map<string, number>;
  readonly ownerShares: OwnerShares;
  /** By service ID; only for services that have a limit. */
  readonly serviceBuckets: Map<number, TokenBucket>;
  /** By service ID. */
  readonly retryBudgets: Map<number, RetryBudget>;
  /** Opens that came from callers. */
  receivedOpens: number;
  /** Opens that were sent to back ends, retries included. */
  sentOpens: number;
  /** Copies of opens that are pending already. */
  repeatedOpens: number;
  /** Answers of back ends to opens that are no longer pending. */
  lateAnswers: number;
}

/** What the admission of an open depends on, besides the state. */
interface OpenSurroundings {
  /** How many balancers share the traffic of the cluster. */
  readonly liveBalancerCount: number;
  readonly limits: BalancerOpenLimits;
  readonly nowMs: number;
}

/** Why an open is refused. */
export interface OpenRefusal {
  readonly kind: ErrorKind;
  /** When to retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/**
 * @returns the state before the first open
 */
export function createOpenLimits(): OpenLimitsState {
  return {
    configIndex: undefined,
    owners: new Set(),
    pendingByOwner: new Map(),
    ownerShares: createOwnerShares(),
    serviceBuckets: new Map(),
    retryBudgets: new Map(),
    receivedOpens: 0,
    sentOpens: 0,
    repeatedOpens: 0,
    lateAnswers: 0,
  };
}

/**
 * Decides on an open that came from a caller.
 * @returns undefined where it is admitted; then it is pending until `releaseOpen`
 */
export function admitOpen(
  state: OpenLimitsState,
  service: Service,
  surroundings: OpenSurroundings,
): OpenRefusal | undefined {
  state.receivedOpens += 1;
  addToRetryBudget(budgetOf(state, service.id));
  const refusal =
    pendingRefusal(state, service.owner, surroundings) ??
    serviceRefusal(state, service, surroundings) ??
    ownerRefusal(state, service.owner, surroundings);
  if (refusal === undefined) {
    const pending = state.pendingByOwner.get(service.owner) ?? 0;
    state.pendingByOwner.set(service.owner, pending + 1);
  }
  return refusal;
}

/**
 * Ends an open that was admitted.
 */
export function releaseOpen(state: OpenLimitsState, owner: string): void {
  const pending = (state.pendingByOwner.get(owner) ?? 0) - 1;
  if (pending > 0) {
    state.pendingByOwner.set(owner, pending);
  } else {
    state.pendingByOwner.delete(owner);
  }
}

/**
 * @returns true where an open of the service may be tried on another back end; counts it
 */
export function admitRetry(state: OpenLimitsState, serviceId: number): boolean {
  return takeRetry(budgetOf(state, serviceId));
}

/**
 * Updates owners, buckets and budgets to the services in force; does nothing where they are those of the last call.
 * @param configIndex log index of the configuration
 */
export function updateServices(
  state: OpenLimitsState,
  services: ReadonlyMap<number, Service>,
  configIndex: number,
): void {
  if (state.configIndex === configIndex) {
    return;
  }
  state.configIndex = configIndex;
  state.owners = new Set([...services.values()].map(({ owner }) => owner));
  for (const table of [state.serviceBuckets, state.retryBudgets]) {
    for (const id of table.keys()) {
      if (!services.has(id)) {
        table.delete(id);
      }
    }
  }
}

function pendingRefusal(
  state: OpenLimitsState,
  owner: string,
  { limits }: OpenSurroundings,
): OpenRefusal | undefined {
  const ownerCount = Math.max(1, state.owners.size);
  const share = Math.max(1, Math.floor(limits.maxPendingOpens / ownerCount));
  const pending = state.pendingByOwner.get(owner) ?? 0;
  return pending < share
    ? undefined
    : { kind: 'overloaded', retryAfterMs: OVERLOAD_RETRY_AFTER_MS };
}

function serviceRefusal(
  state: OpenLimitsState,
  { id, limits: { opensPerSecond } }: Service,
  { liveBalancerCount, nowMs }: OpenSurroundings,
): OpenRefusal | undefined {
  if (opensPerSecond === undefined) {
    state.serviceBuckets.delete(id);
    return undefined;
  }
  const rate = localRate(opensPerSecond, liveBalancerCount);
  const bucket = state.serviceBuckets.get(id) ?? createTokenBucket(rate, nowMs);
  state.serviceBuckets.set(id, bucket);
  fillBucket(bucket, rate, nowMs);
  return takeToken(bucket)
    ? undefined
    : { kind: 'rate-limited', retryAfterMs: nextTokenInMs(bucket, rate) };
}

function ownerRefusal(
  state: OpenLimitsState,
  owner: string,
  { limits, nowMs }: OpenSurroundings,
): OpenRefusal | undefined {
  const rate = limits.maxOpensPerSecond;
  const waitMs = takeFromShare(state.ownerShares, owner, state.owners, rate, nowMs);
  return waitMs === undefined ? undefined : { kind: 'overloaded', retryAfterMs: waitMs };
}

/** A service's limit holds for the whole cluster, so each balancer takes its part. */
function localRate(opensPerSecond: number, liveBalancerCount: number): TokenRate {
  const tokensPerSecond = opensPerSecond / Math.max(1, liveBalancerCount);
  return { tokensPerSecond, capacity: Math.max(1, tokensPerSecond * SERVICE_BURST_SECONDS) };
}

function budgetOf(state: OpenLimitsState, serviceId: number): RetryBudget {
  const known = state.retryBudgets.get(serviceId);
  if (known !== undefined) {
    return known;
  }
  const budget = createRetryBudget();
  state.retryBudgets.set(serviceId, budget);
  return budget;
}
