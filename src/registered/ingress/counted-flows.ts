/**
 * @file Limit of the flows that a balancer tracks for placement, derived from its memory limit. Further flows are still
 * forwarded, but are missing from the load of their back end.
 */

/** Share of the memory limit that flow tracking may use. */
const COUNTED_FLOWS_MEMORY_SHARE = 0.25;
/** Heap size of one tracked flow, with a margin. */
const BYTES_PER_COUNTED_FLOW = 300;
const MAX_COUNTED_FLOWS = 100_000;
const BYTES_PER_MB = 1_000_000;

/** @param memoryMb memory limit of the process, in megabytes; undefined if unlimited */
export function maxCountedFlowsFor(memoryMb: number | undefined): number {
  const budgetBytes =
    (memoryMb ?? Number.POSITIVE_INFINITY) * BYTES_PER_MB * COUNTED_FLOWS_MEMORY_SHARE;
  return Math.min(MAX_COUNTED_FLOWS, Math.floor(budgetBytes / BYTES_PER_COUNTED_FLOW));
}
