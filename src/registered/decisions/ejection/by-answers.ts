/**
 * @file Ejects back ends whose answers show that they fail. An ejection ends after a hold time, and the back
 * end is tried again, since it shows nothing new meanwhile and its evidence decays; the hold doubles with each further failure.
 * Established flows are not affected.
 */
import type { AnswerStats } from '../../load-exchange/answer-stats.js';
import { busyInFleet, type KnownBackend } from '../../ingress/known-backend.js';
import type { ObservedBackend } from '../fleet-answer-stats.js';
import { MAX_EJECTED_SHARE_BY_ANSWERS } from './caps.js';
import {
  agreedSuspicion,
  suspicionOf,
  usualWaits,
  type FleetSuspicion,
} from '../shared-evidence.js';
import { detectFailure, sumAnswers, type Failure } from './failure-detection.js';

/** Ejection of back ends whose answers show that they fail. */
export interface EjectionByAnswers {
  /**
   * Updates the ejections. Too expensive to run for each flow; a few times a second is enough.
   * @param all eligible back ends of one service
   */
  detect(all: readonly ObservedBackend[], nowMs: number): void;
  /**
   * @param candidates back ends of one service
   * @returns those that are not ejected, in the same order; all of them if more than the cap would be
   * ejected
   */
  withoutEjected(candidates: readonly KnownBackend[], nowMs: number): readonly KnownBackend[];
  /** @returns the number of back ends that are ejected now, by failure */
  ejectedByFailure(nowMs: number): ReadonlyMap<Failure, number>;
  /** @returns the ejections that began since the last call, at most 20; for the logs */
  takeEjections(): readonly Ejection[];
}

/** An ejection that began; for the logs. */
export interface Ejection {
  readonly backendId: string;
  readonly failure: Failure;
  /** Shortest duration; it is extended while the back end keeps failing. */
  readonly holdMs: number;
  readonly evidence: EjectionEvidence;
}

/** Answer stats of a back end over all balancers. */
interface EjectionEvidence extends AnswerStats {
  /** Requests in progress. */
  readonly busy: number;
  /** What balancers agree on; absent for other failures. */
  readonly suspicion?: FleetSuspicion;
}

/** Covers a report of every balancer (500 ms) and a client's first retransmission (200 ms). */
const MIN_HOLD_MS = 1_000;
/** Longer than six missed heartbeats, after which a back end counts as dead. */
const MAX_HOLD_MS = 8_000;
/** Bounds the log lines of one tick. */
const MAX_UNLOGGED_EJECTIONS = 20;

interface Hold {
  readonly untilMs: number;
  readonly holdMs: number;
  /** Time of the last failure, or since when several balancers wait; a later sign of life ends the hold. */
  readonly failedAtMs: number;
  readonly failure: Failure;
}

/** @returns ejection state without any back end */
export function createEjectionByAnswers(): EjectionByAnswers {
  const holds = new Map<string, Hold>();
  let unlogged: Ejection[] = [];

  return { detect, withoutEjected, ejectedByFailure, takeEjections };

  function detect(all: readonly ObservedBackend[], nowMs: number): void {
    const service = sumAnswers(all);
    const usual = usualWaits(
      all.map(({ backend }) => backend),
      nowMs,
    );
    for (const { backend, stats } of all) {
      const failure =
        agreedSuspicion(backend, usual, nowMs) ?? detectFailure(backend, stats, service, nowMs);
      if (failure === undefined) {
        release(backend, nowMs);
      } else {
        eject(backend, failure, stats, nowMs);
      }
    }
  }

  function eject(backend: KnownBackend, failure: Failure, stats: AnswerStats, nowMs: number): void {
    const { id } = backend;
    const previous = holds.get(id);
    const suspicion =
      failure === 'unacknowledged' || failure === 'unanswered'
        ? suspicionOf(backend, failure, nowMs)
        : undefined;
    const hold = nextHold(previous, failure, suspicion?.sinceMs ?? nowMs, nowMs);
    holds.set(id, hold);
    const isNew = previous === undefined || nowMs >= previous.untilMs;
    if (isNew && unlogged.length < MAX_UNLOGGED_EJECTIONS) {
      const evidence = { ...stats, busy: busyInFleet(backend), ...(suspicion && { suspicion }) };
      unlogged.push({ backendId: id, failure, holdMs: hold.holdMs, evidence });
    }
  }

  /** Ends a hold after progress of a stalled back end, or long after it ran out. */
  function release(backend: KnownBackend, nowMs: number): void {
    const { id } = backend;
    const hold = holds.get(id);
    if (hold === undefined) {
      return;
    }
    const hasRecovered = lastSignOf(backend, hold.failure) > hold.failedAtMs;
    if (hasRecovered || nowMs - hold.untilMs > MAX_HOLD_MS) {
      holds.delete(id);
    }
  }

  function withoutEjected(
    candidates: readonly KnownBackend[],
    nowMs: number,
  ): readonly KnownBackend[] {
    if (holds.size === 0) {
      return candidates;
    }
    const notEjected = candidates.filter(({ id }) => nowMs >= (holds.get(id)?.untilMs ?? nowMs));
    const ejectedCount = candidates.length - notEjected.length;
    return ejectedCount > candidates.length * MAX_EJECTED_SHARE_BY_ANSWERS
      ? candidates
      : notEjected;
  }

  function ejectedByFailure(nowMs: number): ReadonlyMap<Failure, number> {
    const counts = new Map<Failure, number>();
    for (const { failure, untilMs } of holds.values()) {
      if (nowMs < untilMs) {
        counts.set(failure, (counts.get(failure) ?? 0) + 1);
      }
    }
    return counts;
  }

  function takeEjections(): readonly Ejection[] {
    const taken = unlogged;
    unlogged = [];
    return taken;
  }
}

/** @returns the last sign of life that ends a hold, here or at another balancer; minus infinity if none does */
function lastSignOf({ local, fleet }: KnownBackend, failure: Failure): number {
  switch (failure) {
    case 'stalls':
      return local.lastProgressAtMs;
    case 'unacknowledged':
      return Math.max(local.lastProgressAtMs, fleet.lastSignsAtMs[failure]);
    case 'unanswered':
      return Math.max(local.lastAnswerAtMs, fleet.lastSignsAtMs[failure]);
    case 'answers-short':
      return -Infinity;
  }
}

/** Extends a current hold by its own length; a new failure after a hold doubles it. */
function nextHold(
  previous: Hold | undefined,
  failure: Failure,
  failedAtMs: number,
  nowMs: number,
): Hold {
  const isNew = previous === undefined || nowMs >= previous.untilMs;
  const lastHoldMs = previous?.holdMs ?? MIN_HOLD_MS / 2;
  const holdMs = isNew ? Math.min(MAX_HOLD_MS, 2 * lastHoldMs) : lastHoldMs;
  return { untilMs: nowMs + holdMs, holdMs, failedAtMs, failure };
}
