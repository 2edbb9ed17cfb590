/**
 * @file Selects the probe results that a balancer gossips to its zone: changed results first, then unchanged ones in
 * rotation. Results carry their age rather than a timestamp, so clocks need not agree.
 */
import type { HealthReport, LoadReport, ProbeResult } from './backend-report.js';
import { createMapCursor, nextEntry, type MapCursor } from './map-cursor.js';

/** Maximum number of results in one message; the message must fit into one datagram. */
export const MAX_SHARED_RESULTS = 32;
/** Maximum number of unchanged results in one message. */
const MAX_REPEATED_RESULTS = 12;
/** Number of results in rotation from which the unchanged ones are chosen. */
const REPEAT_CANDIDATES = 60;
/** Smallest change in connections that counts, as a share of the limit; avoids messages for small changes. */
const CONNECTION_CHANGE_SHARE = 0.02;
/** Older results are not sent. */
const MAX_SHARED_AGE_MS = 60_000;

/** A probe result as sent to other balancers. */
export interface SharedResult {
  readonly backendId: number;
  /** Time since the back end was probed. */
  readonly ageMs: number;
  readonly health: HealthReport | undefined;
  readonly load: LoadReport | undefined;
}

/** The latest result of a back end, with its sending state. */
interface LatestResult {
  readonly result: ProbeResult;
  readonly observedAtMs: number;
  sendsLeft: number;
  /** When this result was last sent; -Infinity before the first time. */
  sentAtMs: number;
}

/** The latest results of all back ends, from this balancer or another. */
export interface HealthSharing {
  readonly latest: Map<number, LatestResult>;
  /** Back ends with a change still to be sent, oldest first. */
  readonly changed: Set<number>;
  readonly cursor: MapCursor<number, LatestResult>;
}

/**
 * @returns a state without results
 */
export function createHealthSharing(): HealthSharing {
  const latest = new Map<number, LatestResult>();
  return { latest, changed: new Set(), cursor: createMapCursor(latest) };
}

/**
 * Records the latest result of a back end.
 * @param sends how many times to send it if it is a change
 */
export function recordResult(
  sharing: HealthSharing,
  result: ProbeResult,
  observedAtMs: number,
  sends: number,
): void {
  const { backendId } = result;
  const previous = sharing.latest.get(backendId);
  const isChange = previous === undefined || differs(previous.result, result);
  const remainingSends = isChange ? sends : previous.sendsLeft;
  sharing.latest.set(backendId, {
    result,
    observedAtMs,
    sendsLeft: remainingSends,
    sentAtMs: -Infinity,
  });
  if (remainingSends > 0) {
    sharing.changed.add(backendId);
  }
}

/**
 * Removes the result of a back end.
 */
export function forgetResult(sharing: HealthSharing, backendId: number): void {
  sharing.latest.delete(backendId);
  sharing.changed.delete(backendId);
}

/**
 * @returns the results for the next message: changes first, then unchanged ones; marks them as sent
 */
export function resultsToShare(sharing: HealthSharing, nowMs: number): SharedResult[] {
  const chosen = new Map<number, LatestResult>();
  for (const backendId of [...sharing.changed].slice(0, MAX_SHARED_RESULTS)) {
    const entry = sharing.latest.get(backendId);
    if (entry !== undefined) {
      chosen.set(backendId, entry);
      recordSend(sharing, backendId, entry);
    }
  }
  const bound = Math.min(MAX_REPEATED_RESULTS, MAX_SHARED_RESULTS - chosen.size);
  nextRepeatCandidates(sharing)
    .slice(0, bound)
    .forEach(([backendId, entry]) => chosen.set(backendId, entry));
  chosen.forEach((entry) => (entry.sentAtMs = nowMs));
  return sharedResults(chosen.values(), nowMs);
}

/**
 * @returns all results that are not too old, for a joining balancer
 */
export function allSharedResults(sharing: HealthSharing, nowMs: number): SharedResult[] {
  return sharedResults(sharing.latest.values(), nowMs);
}

function sharedResults(results: Iterable<LatestResult>, nowMs: number): SharedResult[] {
  return [...results]
    .filter(({ observedAtMs }) => nowMs - observedAtMs < MAX_SHARED_AGE_MS)
    .map(({ result, observedAtMs }) => ({
      backendId: result.backendId,
      ageMs: Math.ceil(nowMs - observedAtMs),
      health: result.health,
      load: result.load,
    }));
}

function recordSend(sharing: HealthSharing, backendId: number, entry: LatestResult): void {
  entry.sendsLeft -= 1;
  sharing.changed.delete(backendId);
  if (entry.sendsLeft > 0) {
    sharing.changed.add(backendId);
  }
}

/** Least recently sent first; among those, the most recently observed, which are mostly this balancer's own. */
function nextRepeatCandidates(sharing: HealthSharing): [number, LatestResult][] {
  const candidates: [number, LatestResult][] = [];
  const count = Math.min(REPEAT_CANDIDATES, sharing.latest.size);
  for (let position = 0; position < count; position += 1) {
    const next = nextEntry(sharing.cursor, sharing.latest);
    if (next !== undefined) {
      candidates.push(next);
    }
  }
  return candidates.sort(
    ([, one], [, other]) =>
      compareTimes(one.sentAtMs, other.sentAtMs) || other.observedAtMs - one.observedAtMs,
  );
}

function compareTimes(one: number, other: number): number {
  return one === other ? 0 : one - other;
}

function differs(one: ProbeResult, other: ProbeResult): boolean {
  return healthDiffers(one.health, other.health) || loadDiffers(one.load, other.load);
}

function healthDiffers(one: HealthReport | undefined, other: HealthReport | undefined): boolean {
  return (
    one?.state !== other?.state ||
    one?.incarnation !== other?.incarnation ||
    one?.backendId !== other?.backendId
  );
}

function loadDiffers(one: LoadReport | undefined, other: LoadReport | undefined): boolean {
  if (one === undefined || other === undefined) {
    return one !== other;
  }
  const threshold = Math.max(1, CONNECTION_CHANGE_SHARE * other.connectionLimit);
  return (
    one.busySlots !== other.busySlots ||
    one.slots !== other.slots ||
    one.connectionLimit !== other.connectionLimit ||
    one.queuedRequests !== other.queuedRequests ||
    Math.abs(one.connections - other.connections) >= threshold
  );
}
