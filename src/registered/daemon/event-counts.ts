/**
 * @file Event counters by name, read by metrics.
 */

/** Number of events by name. */
export type EventCounts = Map<string, number>;

/** Increments the counter of an event. */
export function countEvent(counts: EventCounts, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
