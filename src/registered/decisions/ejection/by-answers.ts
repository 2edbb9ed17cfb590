/**
 * @file Which back ends get no new flows since their answers show that they fail, and for how long?
 *
 * - Inputs: back ends of one service with their answer stats over all balancers; the time in milliseconds.
 * - Returns: the candidates that are not ejected, all of them above the cap.
 * - Reason: an ejected back end shows nothing new, so its evidence fades. It is then tried again, and ejected for twice
 *   as long each time that it fails again.
 * - It owns the memory of who is ejected until when. Nothing is reset or refused by an ejection: new flows go elsewhere.
 *
 * Setting `policy.failing`; the line `backend passed over` gives each new ejection with its evidence, and
 * `amberlift_ingress_passed_over_backends` counts those that last.
 */
import type { AnswerStats } from '../../load-exchange/answer-stats.js';
import { busyInFleet, type KnownBackend } from '../../ingress/known-backend.js';
import type { ObservedBackend } from '../fleet-answer-stats.js';
import { MAX_SHARE_BY_ANSWERS } from './caps.js';
import { failureOf, serviceAnswers, type Failure } from './failure-signs.js';

/** Who is ejected by answers. */
export interface EjectionByAnswers {
  /**
   * Updates who is ejected. It costs more than a choice, so it is called some times a second, not for each flow.
   * @param all eligible back ends of one service
   */
  detect(all: readonly ObservedBackend[], nowMs: number): void;
  /**
   * @param candidates back ends of one service
   * @returns those that are not ejected, in the same order; all of them where the cap is passed
   */
  withoutEjected(candidates: readonly KnownBackend[], nowMs: number): readonly KnownBackend[];
  /** @returns how many are ejected now, by what they show */
  ejectedByFailure(nowMs: number): ReadonlyMap<Failure, number>;
  /** @returns the ejections that began since the last call, for the logs; at most 20 */
  takeEjections(): readonly Ejection[];
}

/** An ejection that begins. */
interface Ejection {
  readonly backendId: string;
  readonly failure: Failure;
  /** For how long at least, in milliseconds. */
  readonly holdMs: number;
  readonly evidence: EjectionEvidence;
}

/** What the flows of a back end show at all balancers together. */
interface EjectionEvidence extends AnswerStats {
  /** Requests in progress. */
  readonly busy: number;
}

/**
 * After the last sign of a failure: the reports of all balancers (500 ms) and the first repeat of a client (200 ms) fit
 * into it. Not measured; too short if `backend passed over` names the same back end again and again with `holdMs=1000`.
 */
const SHORTEST_HOLD_MS = 1_000;
/**
 * The hold doubles up to this, by when heartbeats show a dead back end (after 6 intervals). Not measured; too long if a
 * back end that answers again waits for flows.
 */
const LONGEST_HOLD_MS = 8_000;
/** Ejections kept between two calls of `takeEjections`; more lines in a tick say no more. */
const MAX_UNLOGGED = 20;

interface Hold {
  readonly untilMs: number;
  readonly holdMs: number;
  /** When it failed last, in milliseconds. */
  readonly failedAtMs: number;
  readonly failure: Failure;
}

/** @returns an ejection without any back end */
export function createEjectionByAnswers(): EjectionByAnswers {
  const holds = new Map<string, Hold>();
  let unlogged: Ejection[] = [];

  return { detect, withoutEjected, ejectedByFailure, takeEjections };

  function detect(all: readonly ObservedBackend[], nowMs: number): void {
    const service = serviceAnswers(all);
    for (const { backend, stats } of all) {
      const failure = failureOf(backend, stats, service, nowMs);
      if (failure === undefined) {
        release(backend, nowMs);
      } else {
        eject(backend, failure, stats, nowMs);
      }
    }
  }

  function eject(backend: KnownBackend, failure: Failure, stats: AnswerStats, nowMs: number): void {
    const { id } = backend;
    const before = holds.get(id);
    const hold = nextHold(before, failure, nowMs);
    holds.set(id, hold);
    const isNew = before === undefined || nowMs >= before.untilMs;
    if (isNew && unlogged.length < MAX_UNLOGGED) {
      const evidence = { ...stats, busy: busyInFleet(backend) };
      unlogged.push({ backendId: id, failure, holdMs: hold.holdMs, evidence });
    }
  }

  /** One that stalled is back once a client gets something of it; all are forgotten after a while without a failure. */
  function release({ id, local }: KnownBackend, nowMs: number): void {
    const hold = holds.get(id);
    if (hold === undefined) {
      return;
    }
    const hasRecovered = hold.failure === 'stalls' && local.lastProgressAtMs > hold.failedAtMs;
    if (hasRecovered || nowMs - hold.untilMs > LONGEST_HOLD_MS) {
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
    const left = candidates.filter(({ id }) => nowMs >= (holds.get(id)?.untilMs ?? nowMs));
    const ejected = candidates.length - left.length;
    return ejected > candidates.length * MAX_SHARE_BY_ANSWERS ? candidates : left;
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

/** While it goes on to fail the hold keeps its length; one that ran out and fails again is held for twice as long. */
function nextHold(before: Hold | undefined, failure: Failure, nowMs: number): Hold {
  const isNew = before === undefined || nowMs >= before.untilMs;
  const lastHoldMs = before?.holdMs ?? SHORTEST_HOLD_MS / 2;
  const holdMs = isNew ? Math.min(LONGEST_HOLD_MS, 2 * lastHoldMs) : lastHoldMs;
  return { untilMs: nowMs + holdMs, holdMs, failedAtMs: nowMs, failure };
}
