/**
 * @file Merges the suspicions of several balancers. A sign of life at one of them refutes all waits that began before it,
 * at all others. Ages are some transit time too low, so a sign that came right after a wait began may count as earlier.
 */
import type { Suspicion } from './suspicion-rows.js';

/** Longer than a sign of life takes to reach all balancers; they remember it. */
const SIGN_LIFETIME_MS = 600;

/** @returns true if a sign of life shows that a wait since `sinceMs` is not due to the back end */
export function isRefuted(sinceMs: number, lastSignAtMs: number): boolean {
  return lastSignAtMs > sinceMs;
}

/**
 * @param foreign tables whose signs of life count, but are not part of the result
 * @returns one suspicion per back end and kind; those with neither flows nor a recent sign of life are left out
 */
export function mergeSuspicions(
  tables: readonly (readonly Suspicion[])[],
  nowMs: number,
  foreign: readonly (readonly Suspicion[])[] = [],
): Suspicion[] {
  const lastSigns = lastSignsIn([...tables, ...foreign]);
  const merged = new Map<string, Suspicion>();
  for (const suspicion of tables.flat()) {
    const key = keyOf(suspicion);
    const isCounted =
      suspicion.flows > 0 && !isRefuted(suspicion.sinceMs, lastSigns.get(key) ?? -Infinity);
    const counted = isCounted ? suspicion : withoutFlows(suspicion, nowMs);
    const before = merged.get(key);
    merged.set(key, before === undefined ? counted : sumOf(before, counted));
  }
  return [...merged.values()].filter(
    ({ flows, lastSignAtMs }) => flows > 0 || nowMs - lastSignAtMs < SIGN_LIFETIME_MS,
  );
}

function lastSignsIn(tables: readonly (readonly Suspicion[])[]): ReadonlyMap<string, number> {
  const lastSigns = new Map<string, number>();
  for (const suspicion of tables.flat()) {
    const key = keyOf(suspicion);
    lastSigns.set(key, Math.max(lastSigns.get(key) ?? -Infinity, suspicion.lastSignAtMs));
  }
  return lastSigns;
}

function keyOf({ token, kind }: Suspicion): string {
  return `${token} ${kind}`;
}

function withoutFlows(suspicion: Suspicion, nowMs: number): Suspicion {
  return { ...suspicion, balancers: 0, flows: 0, repeats: 0, sinceMs: nowMs };
}

function sumOf(one: Suspicion, other: Suspicion): Suspicion {
  return {
    ...one,
    balancers: one.balancers + other.balancers,
    flows: one.flows + other.flows,
    repeats: one.repeats + other.repeats,
    sinceMs: Math.min(one.sinceMs, other.sinceMs),
    lastSignAtMs: Math.max(one.lastSignAtMs, other.lastSignAtMs),
    isOverdue: one.isOverdue || other.isOverdue,
  };
}
