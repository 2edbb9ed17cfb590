/**
 * @file Admission control for opens. An open must pass the owner's share of pending opens, the service's rate limit
 * and the owner's share of the balancer's rate, in this order. Refusals are immediate and carry a retry delay.
 */
import type { Service } from '../control/routing-config.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import { createOwnerShares, takeOpenFromShare, type OwnerShares } from './owner-shares.js';
import {
  addToRetryBudget,
  createRetryBudget,
  takeRetry,
  type RetryBudget,
} from './retry-budget.js';
import {
  createTokenBucket,
  refillBucket,
  msUntilNextToken,
  takeToken,
  type TokenBucket,
  type TokenRate,
} from './token-bucket.js';

/** Burst size of a service, in seconds at its rate. */
const SERVICE_BURST_SECONDS = 1;
/** Retry delay for refusals that no rate limit gives a delay for, before jitter. */
export const OVERLOAD_RETRY_AFTER_MS = 500;

/** Limits of one balancer, shared by all owners. */
interface BalancerOpenLimits {
  /** Maximum number of pending opens; split equally among owners, without borrowing. */
  readonly maxPendingOpens: number;
  /** Split equally among owners, who may also use what others leave unused. */
  readonly maxOpensPerSecond: number;
}

/** Limits, retry budgets and open counters of one balancer. */
export interface OpenLimitsState {
  /** Log index of the configuration that `owners` is taken from; undefined before the first. */
  configIndex: number | undefined;
  /** Owners of all configured services. */
  owners: ReadonlySet<string>;
  /** Pending opens by owner. */
  readonly pendingByOwner: Map<string, number>;
  readonly ownerShares: OwnerShares;
  /** By service ID; only for services with a rate limit. */
  readonly serviceBuckets: Map<number, TokenBucket>;
  /** By service ID. */
  readonly retryBudgets: Map<number, RetryBudget>;
  /** Opens received from callers. */
  receivedOpens: number;
  /** Opens sent to back ends, including retries. */
  sentOpens: number;
  /** Duplicates of pending opens. */
  repeatedOpens: number;
  /** Answers from back ends to opens that are no longer pending. */
  lateAnswers: number;
}

/** Inputs of an admission decision that are not part of `OpenLimitsState`. */
interface AdmissionContext {
  /** Live balancers of the cluster, which split each service's rate limit. */
  readonly liveBalancerCount: number;
  readonly limits: BalancerOpenLimits;
  readonly nowMs: number;
}

/** A refused open; it was not sent to any back end. */
export interface OpenRefusal {
  readonly kind: ErrorKind;
  /** Delay before the caller should retry. */
  readonly retryAfterMs: number;
}

/**
 * @returns empty limits, budgets and counters
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
 * Admits or refuses an open from a caller.
 * @returns undefined if admitted; the open then counts as pending until `releaseOpen`
 */
export function admitOpen(
  state: OpenLimitsState,
  service: Service,
  context: AdmissionContext,
): OpenRefusal | undefined {
  state.receivedOpens += 1;
  addToRetryBudget(budgetOf(state, service.id));
  const refusal =
    pendingRefusal(state, service.owner, context) ??
    serviceRefusal(state, service, context) ??
    ownerRefusal(state, service.owner, context);
  if (refusal === undefined) {
    const pending = state.pendingByOwner.get(service.owner) ?? 0;
    state.pendingByOwner.set(service.owner, pending + 1);
  }
  return refusal;
}

/**
 * Removes an admitted open from the pending opens of its owner.
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
 * Takes a retry from the budget of the service.
 * @returns false if the budget is used up
 */
export function admitRetry(state: OpenLimitsState, serviceId: number): boolean {
  return takeRetry(budgetOf(state, serviceId));
}

/**
 * Updates the owners, and drops the state of removed services. Does nothing if the configuration is unchanged.
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
  { limits }: AdmissionContext,
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
  { liveBalancerCount, nowMs }: AdmissionContext,
): OpenRefusal | undefined {
  if (opensPerSecond === undefined) {
    state.serviceBuckets.delete(id);
    return undefined;
  }
  const rate = localRate(opensPerSecond, liveBalancerCount);
  const bucket = state.serviceBuckets.get(id) ?? createTokenBucket(rate, nowMs);
  state.serviceBuckets.set(id, bucket);
  refillBucket(bucket, rate, nowMs);
  return takeToken(bucket)
    ? undefined
    : { kind: 'rate-limited', retryAfterMs: msUntilNextToken(bucket, rate) };
}

function ownerRefusal(
  state: OpenLimitsState,
  owner: string,
  { limits, nowMs }: AdmissionContext,
): OpenRefusal | undefined {
  const rate = limits.maxOpensPerSecond;
  const waitMs = takeOpenFromShare(state.ownerShares, owner, state.owners, rate, nowMs);
  return waitMs === undefined ? undefined : { kind: 'overloaded', retryAfterMs: waitMs };
}

/** This balancer's equal part of a service's rate limit, which applies to the whole cluster. */
function localRate(opensPerSecond: number, liveBalancerCount: number): TokenRate {
  const tokensPerSecond = opensPerSecond / Math.max(1, liveBalancerCount);
  return { tokensPerSecond, capacity: Math.max(1, tokensPerSecond * SERVICE_BURST_SECONDS) };
}

function budgetOf(state: OpenLimitsState, serviceId: number): RetryBudget {
  const existing = state.retryBudgets.get(serviceId);
  if (existing !== undefined) {
    return existing;
  }
  const budget = createRetryBudget();
  state.retryBudgets.set(serviceId, budget);
  return budget;
}
