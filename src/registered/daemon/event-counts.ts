/**
 * @file Counts of events by name, which metrics read.
 */

/** Events so far, by name. */
export type EventCounts = Map<string, number>;

/** Counts one more event of a name. */
export function countEvent(counts: EventCounts, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
