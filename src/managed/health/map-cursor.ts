/**
 * @file Visits the entries of a map in turn, each once in a round, while entries come and go. An entry that is added is
 * visited in the round in progress.
 */

/** The position of a visit in turn. */
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
 * @returns the next entry, from the first again after the last; undefined for an empty map
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
