/**
 * @file May an open be tried on another back end? Only while the service has retries left. Each open received adds a part of
 * a retry, so back ends that fail get at most about 1.2 times the opens that came in. Each service has a budget of its own,
 * so that the failing back ends of one owner use up nothing of another's.
 *
 * Unit: retries. `open-limits.ts` keeps one budget per service.
 */

/**
 * Retries that each received open adds. Callers need opens sent to stay within 1.2 times those received; with all back ends
 * refusing 2,000 opens they do (`test/managed/balancer/open-limits.test.ts`).
 */
const RETRIES_PER_OPEN = 0.18;
/** Retries that a service has before any open came: few enough to keep within a factor of 1.2 from 500 opens on. */
const INITIAL_RETRIES = 10;
/**
 * Most retries that are saved up. Not measured; too low if opens fail at the loss of one back end while the others
 * are ready.
 */
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
 * Adds to the budget for an open that was received.
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
