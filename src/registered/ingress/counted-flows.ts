/**
 * @file How many flows a balancer counts for placement. Flows beyond that are forwarded all the same; they only don't
 * show in the load of their back end.
 */

/** Counting flows may take this part of the memory of a process. Not measured. */
const COUNTED_FLOWS_SHARE = 0.25;
/** What one counted flow takes; measured 199 bytes by the heap with 100,000 flows. */
const BYTES_PER_COUNTED_FLOW = 300;
/** Flows counted at most, however much memory there is: the number with which their size was measured. */
const MAX_COUNTED_FLOWS = 100_000;
const BYTES_PER_MB = 1_000_000;

/** @param memoryMb what the process may take, in megabytes; undefined for no bound */
export function countedFlowsFor(memoryMb: number | undefined): number {
  const budgetBytes = (memoryMb ?? Number.POSITIVE_INFINITY) * BYTES_PER_MB * COUNTED_FLOWS_SHARE;
  return Math.min(MAX_COUNTED_FLOWS, Math.floor(budgetBytes / BYTES_PER_COUNTED_FLOW));
}
