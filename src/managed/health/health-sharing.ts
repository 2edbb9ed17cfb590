/**
 * @file Which probe results does a balancer send to the others of its zone next? Changed results first, the oldest first,
 * then others in turn, so that none grows old; all within a fixed number of results for a message. A result holds from when
 * the back end was asked; its age travels along, so no clocks are compared.
 *
 * Owns `HealthSharing`, the latest result of each back end. `balancer/shared-health.ts` decides when and to whom.
 */
import type { HealthReport, LoadReport, ProbeResult } from './backend-report.js';
import { createMapCursor, nextEntry, type MapCursor } from './map-cursor.js';

/**
 * Bound of results in one message. Two messages of this size twice a second bound what a balancer sends
 * (docs/CAPACITY.md).
 */
export const MAX_SHARED_RESULTS = 32;
/**
 * Unchanged results that are repeated in one message. Not measured; too few if balancers probe by themselves what
 * others probe.
 */
const MAX_REPEATED_RESULTS = 12;
/** Out of how many results in turn the repeated ones are chosen. Not measured. */
const REPEAT_CANDIDATES = 60;
/**
 * Connections must differ by this share of the limit to count as a change; coarse, to save messages. Not measured.
 */
const CONNECTION_STEP = 0.02;
/** A result that was observed longer ago is not sent, in milliseconds. */
const MAX_SHARED_AGE_MS = 60_000;

/** A result of another balancer or the own one. */
export interface SharedResult {
  readonly backendId: number;
  /** How long ago the back end was asked, in milliseconds. */
  readonly ageMs: number;
  readonly health: HealthReport | undefined;
  readonly load: LoadReport | undefined;
}

/** The latest result of a back end, and how often it is still to be sent. */
interface KnownResult {
  readonly result: ProbeResult;
  readonly observedAtMs: number;
  sendsLeft: number;
  /** When this observation was last sent, in milliseconds. */
  sentAtMs: number;
}

/** The latest results of all back ends. */
export interface HealthSharing {
  readonly known: Map<number, KnownResult>;
  /** Back ends whose change is still to be sent, the oldest first. */
  readonly changed: Set<number>;
  readonly cursor: MapCursor<number, KnownResult>;
}

/**
 * @returns a state without results
 */
export function createHealthSharing(): HealthSharing {
  const known = new Map<number, KnownResult>();
  return { known, changed: new Set(), cursor: createMapCursor(known) };
}

/**
 * Records the latest result of a back end.
 * @param sends how often it is sent where it is a change
 */
export function recordResult(
  sharing: HealthSharing,
  result: ProbeResult,
  observedAtMs: number,
  sends: number,
): void {
  const { backendId } = result;
  const before = sharing.known.get(backendId);
  const isChange = before === undefined || differs(before.result, result);
  const left = isChange ? sends : before.sendsLeft;
  sharing.known.set(backendId, { result, observedAtMs, sendsLeft: left, sentAtMs: -Infinity });
  if (left > 0) {
    sharing.changed.add(backendId);
  }
}

/**
 * Forgets a back end.
 */
export function forgetResult(sharing: HealthSharing, backendId: number): void {
  sharing.known.delete(backendId);
  sharing.changed.delete(backendId);
}

/**
 * @returns the results for the next message: changes first, then others in turn
 */
export function resultsToShare(sharing: HealthSharing, nowMs: number): SharedResult[] {
  const chosen = new Map<number, KnownResult>();
  for (const backendId of [...sharing.changed].slice(0, MAX_SHARED_RESULTS)) {
    const known = sharing.known.get(backendId);
    if (known !== undefined) {
      chosen.set(backendId, known);
      countSend(sharing, backendId, known);
    }
  }
  const bound = Math.min(MAX_REPEATED_RESULTS, MAX_SHARED_RESULTS - chosen.size);
  repeatedInTurn(sharing)
    .slice(0, bound)
    .forEach(([backendId, known]) => chosen.set(backendId, known));
  chosen.forEach((known) => (known.sentAtMs = nowMs));
  return sharedResults(chosen.values(), nowMs);
}

/**
 * @returns all results that are not too old, for a balancer that joins
 */
export function allSharedResults(sharing: HealthSharing, nowMs: number): SharedResult[] {
  return sharedResults(sharing.known.values(), nowMs);
}

function sharedResults(results: Iterable<KnownResult>, nowMs: number): SharedResult[] {
  return [...results]
    .filter(({ observedAtMs }) => nowMs - observedAtMs < MAX_SHARED_AGE_MS)
    .map(({ result, observedAtMs }) => ({
      backendId: result.backendId,
      ageMs: Math.ceil(nowMs - observedAtMs),
      health: result.health,
      load: result.load,
    }));
}

function countSend(sharing: HealthSharing, backendId: number, known: KnownResult): void {
  known.sendsLeft -= 1;
  sharing.changed.delete(backendId);
  if (known.sendsLeft > 0) {
    sharing.changed.add(backendId);
  }
}

/** What was not sent yet goes first, of this the youngest: mostly this balancer's own results. */
function repeatedInTurn(sharing: HealthSharing): [number, KnownResult][] {
  const candidates: [number, KnownResult][] = [];
  const count = Math.min(REPEAT_CANDIDATES, sharing.known.size);
  for (let position = 0; position < count; position += 1) {
    const next = nextEntry(sharing.cursor, sharing.known);
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
  const step = Math.max(1, CONNECTION_STEP * other.connectionLimit);
  return (
    one.busySlots !== other.busySlots ||
    one.slots !== other.slots ||
    one.connectionLimit !== other.connectionLimit ||
    one.queuedRequests !== other.queuedRequests ||
    Math.abs(one.connections - other.connections) >= step
  );
}
