/**
 * @file A bounded map with expiring entries. Two generations rotate once per period, so an entry lives for one to two
 * periods and no timer is needed.
 */

/** A map whose entries expire after one to two periods. */
export interface ExpiringMap<Key, Value> {
  /** Sets an entry; ignored for a new key if the current period already has `maxEntries`, for a known one at twice that. */
  set(key: Key, value: Value, nowMs: number): void;
  get(key: Key, nowMs: number): Value | undefined;
}

/** Options of the map. */
export interface ExpiringMapOptions {
  readonly periodMs: number;
  /** Limit on new keys per period; bounds memory, since other processes determine the number of entries. */
  readonly maxEntries: number;
}

/** @returns an empty map */
export function createExpiringMap<Key, Value>(
  options: ExpiringMapOptions,
): ExpiringMap<Key, Value> {
  const { periodMs, maxEntries } = options;
  let current = new Map<Key, Value>();
  let previous = new Map<Key, Value>();
  let rotatedAtMs = 0;

  return { set, get };

  function set(key: Key, value: Value, nowMs: number): void {
    rotate(nowMs);
    if (current.has(key) || current.size < limitFor(key)) {
      current.set(key, value);
    }
  }

  function limitFor(key: Key): number {
    return previous.has(key) ? 2 * maxEntries : maxEntries;
  }

  function get(key: Key, nowMs: number): Value | undefined {
    rotate(nowMs);
    return current.get(key) ?? previous.get(key);
  }

  function rotate(nowMs: number): void {
    const elapsedMs = nowMs - rotatedAtMs;
    if (elapsedMs < periodMs) {
      return;
    }
    previous = elapsedMs < 2 * periodMs ? current : new Map<Key, Value>();
    current = new Map();
    rotatedAtMs = nowMs;
  }
}
