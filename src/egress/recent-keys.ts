/**
 * @file Keys that were added within a time, without a timer.
 */

/** A set that forgets. */
export interface RecentKeys {
  has(key: string, nowMs: number): boolean;
  add(key: string, nowMs: number): void;
}

/** @param lifetimeMs a key is forgotten after this time */
export function createRecentKeys(lifetimeMs: number): RecentKeys {
  // The key that was added last at the end.
  const addedAtMs = new Map<string, number>();

  return { has, add };

  function has(key: string, nowMs: number): boolean {
    return nowMs - (addedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < lifetimeMs;
  }

  function add(key: string, nowMs: number): void {
    addedAtMs.delete(key);
    addedAtMs.set(key, nowMs);
    for (const [oldest, atMs] of addedAtMs) {
      if (nowMs - atMs < lifetimeMs) {
        return;
      }
      addedAtMs.delete(oldest);
    }
  }
}
