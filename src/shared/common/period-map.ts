/**
 * @file A map that forgets by itself: each entry stays for one to two periods, at the cost of two maps and no
 * timer, and no more than a given number of entries come in one period.
 */

/** A map whose entries are forgotten. */
export interface PeriodMap<Key, Value> {
  /** Keeps an entry; ignores it where the period is full. */
  set(key: Key, value: Value, nowMs: number): void;
  get(key: Key, nowMs: number): Value | undefined;
}

/** Options of the map. */
export interface PeriodMapOptions {
  readonly periodMs: number;
  /** Entries beyond this number in one period are not kept: other processes may ask for any number. */
  readonly maxEntries: number;
}

/** @returns an empty map */
export function createPeriodMap<Key, Value>(options: PeriodMapOptions): PeriodMap<Key, Value> {
  const { periodMs, maxEntries } = options;
  let young = new Map<Key, Value>();
  let old = new Map<Key, Value>();
  let turnedAtMs = 0;

  return { set, get };

  function set(key: Key, value: Value, nowMs: number): void {
    turn(nowMs);
    if (young.size < maxEntries) {
      young.set(key, value);
    }
  }

  function get(key: Key, nowMs: number): Value | undefined {
    turn(nowMs);
    return young.get(key) ?? old.get(key);
  }

  function turn(nowMs: number): void {
    const sinceMs = nowMs - turnedAtMs;
    if (sinceMs < periodMs) {
      return;
    }
    old = sinceMs < 2 * periodMs ? young : new Map<Key, Value>();
    young = new Map();
    turnedAtMs = nowMs;
  }
}
