/**
 * @file A round-robin cursor over the entries of a map that may change meanwhile. Added entries are visited in the
 * current round.
 */

/** Position in the current round. */
export interface MapCursor<Key, Value> {
  entries: Iterator<[Key, Value]>;
}

/**
 * @returns a cursor before the first entry
 */
export function createMapCursor<Key, Value>(map: ReadonlyMap<Key, Value>): MapCursor<Key, Value> {
  return { entries: map.entries() };
}

/**
 * @returns the next entry, wrapping around after the last; undefined if the map is empty
 */
export function nextEntry<Key, Value>(
  cursor: MapCursor<Key, Value>,
  map: ReadonlyMap<Key, Value>,
): [Key, Value] | undefined {
  const next = cursor.entries.next();
  if (next.done !== true) {
    return next.value;
  }
  cursor.entries = map.entries();
  const first = cursor.entries.next();
  return first.done === true ? undefined : first.value;
}
