/**
 * @file The budget for trying opens again: a part of the opens received, so that back ends that fail
 * get no storm of opens on top. Each service has its own, so that one partner's failing back ends
 * use up nothing of the other's.
 */

/** Retries that each received open adds. */
const RETRIES_PER_OPEN = 0.18;
/** Retries that a service has before any open came; few enough to keep within 1.2 from 500 opens on. */
const INITIAL_RETRIES = 10;
/** Most retries that are saved up. */
const MAX_SAVED_RETRIES = 200;

/** What is left of one service's budget. */
export interface RetryBudget {
  retries: number;
}

/**
 * @returns the budget of a service that has had no opens
 */
export function createRetryBudget(): RetryBudget {
  return { retries: INITIAL_RETRIES };
}

/**
 * An open was received.
 */
export function addToRetryBudget(budget: RetryBudget): void {
  budget.retries = Math.min(MAX_SAVED_RETRIES, budget.retries + RETRIES_PER_OPEN);
}

/**
 * Takes one retry.
 * @returns false where none is left
 */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.retries < 1) {
    return false;
  }
  budget.retries -= 1;
  return true;
}
