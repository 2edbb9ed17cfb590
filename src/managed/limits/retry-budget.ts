/**
 * @file A retry budget per service: limits the retries of opens on other back ends to a fraction of the received opens,
 * so that retries do not amplify an overload.
 */

/** Retries added per received open; keeps the opens sent within 1.2 times those received. */
const RETRIES_PER_OPEN = 0.18;
/** Initial budget; small enough for the factor of 1.2 to hold from 500 opens on. */
const INITIAL_RETRIES = 10;
const MAX_SAVED_RETRIES = 200;

/** Remaining retries of one service. */
export interface RetryBudget {
  retries: number;
}

/**
 * @returns the initial budget of a service
 */
export function createRetryBudget(): RetryBudget {
  return { retries: INITIAL_RETRIES };
}

/**
 * Adds the retries that a received open earns, up to the maximum.
 */
export function addToRetryBudget(budget: RetryBudget): void {
  budget.retries = Math.min(MAX_SAVED_RETRIES, budget.retries + RETRIES_PER_OPEN);
}

/**
 * Takes one retry.
 * @returns false if none is left
 */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.retries < 1) {
    return false;
  }
  budget.retries -= 1;
  return true;
}
