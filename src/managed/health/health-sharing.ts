/**
 * @file Results of health probes as the balancers of a zone tell them to one another: each now and then
 * to a few others, changes first, within a fixed number of bytes. What a result says holds from when
 * the back end was asked; its age travels along, so no clocks are compared.
 */
import type { HealthReport, LoadReport, ProbeResult } from './backend-report.js';

/** Bound of results in one message. */
export const MAX_SHARED_RESULTS = 32;
/** Results without news that are repeated in one message, so that none grows old. */
const MAX_REPEATED_RESULTS = 12;
/** Out of how many results in turn the repeated ones are taken. */
const REPEAT_CANDIDATES = 60;
/** Connections must have changed by this share of the limit to be news; coarse on purpose. */
const CONNECTION_STEP = 0.02;
/** A result that was observed longer ago is not told any more, in milliseconds. */
const MAX_SHARED_AGE_MS = 60_000;

/** A result of another balancer or the own one. */
export interface SharedResult {
  readonly backendId: number;
  /** How long ago the back end was asked, in milliseconds. */
  readonly ageMs: number;
  readonly health: HealthReport | undefined;
  readonly load: LoadReport | undefined;
}

/** A result that is known, and how often it is still to be told. */
interface KnownResult {
  readonly result: ProbeResult;
  readonly observedAtMs: number;
  sendsLeft: number;
  /** When this very observation was told last. */
  sentAtMs: number;
}

/** The results that a balancer knows. */
export interface HealthSharing {
  readonly known: Map<number, KnownResult>;
  /** Back ends with news, the oldest first. */
  readonly changed: Set<number>;
  cursor: Iterator<[number, KnownResult]>;
}

/**
 * @returns results of nobody
 */
export function createHealthSharing(): HealthSharing {
  const known = new Map<number, KnownResult>();
  return { known, changed: new Set(), cursor: known.entries() };
}

/**
 * Takes the latest result of a back end.
 * @param tellings how often it is told where it is news
 */
export function recordResult(
  sharing: HealthSharing,
  result: ProbeResult,
  observedAtMs: number,
  tellings: number,
): void {
  const { backendId } = result;
  const before = sharing.known.get(backendId);
  const isNews = before === undefined || differs(before.result, result);
  const left = isNews ? tellings : before.sendsLeft;
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
 * @returns the results for the next message: news first, then others in turn
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

/** What was not told yet goes first, of this the youngest: mostly what this balancer saw itself. */
function repeatedInTurn(sharing: HealthSharing): [number, KnownResult][] {
  const candidates: [number, KnownResult][] = [];
  const count = Math.min(REPEAT_CANDIDATES, sharing.known.size);
  for (let position = 0; position < count; position += 1) {
    const next = nextKnown(sharing);
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

function nextKnown(sharing: HealthSharing): [number, KnownResult] | undefined {
  const next = sharing.cursor.next();
  if (next.done !== true) {
    return next.value;
  }
  sharing.cursor = sharing.known.entries();
  const first = sharing.cursor.next();
  return first.done === true ? undefined : first.value;
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
