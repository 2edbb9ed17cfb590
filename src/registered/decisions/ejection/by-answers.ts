/**
 * @file Back ends that fail while they look well, by what their flows show at all balancers together. They are passed
 * over before anything is said of their speed.
 *
 * Two patterns are known. A back end that lost power or its link takes packets and shows no sign of life: until its
 * heartbeats are missed, three seconds later, it would get its share of all new flows, each of which waits for
 * 1.4 s until its client gives up. And a back end that fails or refuses much of what it gets answers at once, so that
 * by its times and its load it would be the best of all.
 *
 * What is passed over shows nothing new, so the evidence goes by itself. The back end is then tried again, and passed
 * over for twice as long each time that it fails again.
 */
import type { AnswerStats } from '../../load-exchange/answer-stats.js';
import type { KnownBackend } from '../../ingress/known-backend.js';
import type { ObservedBackend } from '../fleet-answer-stats.js';

/** Says which back ends to pass over. */
export interface EjectionByAnswers {
  /**
   * Looks at what back ends show; whoever chooses calls it now and then, since it costs more than a choice.
   * @param all back ends of one service that may be chosen
   */
  detect(all: readonly ObservedBackend[], nowMs: number): void;
  /**
   * @param candidates back ends of one service
   * @returns those that do not fail, as was judged last; all of them where too many seem to
   */
  withoutEjected(candidates: readonly KnownBackend[], nowMs: number): readonly KnownBackend[];
  /** @returns how many are passed over now, by what they show */
  ejectedByFailure(nowMs: number): ReadonlyMap<Failure, number>;
  /** @returns what began since the last call, for the logs */
  takeEjections(): readonly Ejection[];
}

/** A back end that is passed over from now on. */
export interface Ejection {
  readonly backendId: string;
  readonly failure: Failure;
  /** For how long at least, in milliseconds. */
  readonly holdMs: number;
  readonly evidence: EjectionEvidence;
}

/** What a back end shows that fails. */
export type Failure =
  /** What clients send there is not taken. */
  | 'stalls'
  /** Many of its answers are far shorter than those of the others. */
  | 'answers-short';

/** Single flows may have lost a packet and its copy. */
const LEAST_STALLED = 2;
/** A back end that answers has others in progress that don't stall. */
const STALLED_SHARE = 0.5;
/** Where something of it has come through this balancer lately, it is the way of others that fails. */
const QUIET_MS = 1_000;
/** Single answers may be short, and errors may be the caller's. */
const LEAST_SHORT = 3;
/** One request in six fails: another back end serves the caller better, even one that is half as fast. */
const SHORT_SHARE = 1 / 6;
/** ... and many more do than elsewhere: where all give short answers, these are what the route is there for. */
const TIMES_OTHERS = 4;
/** No more than this part of a service is passed over: what most of it shares is no fault of single back ends. */
const MAX_SHARE = 0.4;
/** Passed over for so long after the last sign: a telling of all balancers and the first repeat of a client. */
const SHORTEST_HOLD_MS = 1_000;
/** ... and for twice as long each time, up to this: heartbeats tell of a dead one by then. */
const LONGEST_HOLD_MS = 8_000;
/** Lines between two looks at the news; more are not worth their bytes. */
const MAX_NEWS = 20;

interface Held {
  readonly untilMs: number;
  readonly holdMs: number;
  /** When it failed last, in milliseconds. */
  readonly failedAtMs: number;
  readonly failure: Failure;
}

/** @returns a memory without any back end */
export function createEjectionByAnswers(): EjectionByAnswers {
  const held = new Map<string, Held>();
  let news: Ejection[] = [];

  return { detect, withoutEjected, ejectedByFailure, takeEjections };

  function ejectedByFailure(nowMs: number): ReadonlyMap<Failure, number> {
    const byFailure = new Map<Failure, number>();
    for (const { failure, untilMs } of held.values()) {
      if (nowMs < untilMs) {
        byFailure.set(failure, (byFailure.get(failure) ?? 0) + 1);
      }
    }
    return byFailure;
  }

  function takeEjections(): readonly Ejection[] {
    const taken = news;
    news = [];
    return taken;
  }

  function withoutEjected(
    candidates: readonly KnownBackend[],
    nowMs: number,
  ): readonly KnownBackend[] {
    if (held.size === 0) {
      return candidates;
    }
    const sound = candidates.filter(({ id }) => nowMs >= (held.get(id)?.untilMs ?? nowMs));
    const passedOver = candidates.length - sound.length;
    return passedOver > candidates.length * MAX_SHARE ? candidates : sound;
  }

  function detect(all: readonly ObservedBackend[], nowMs: number): void {
    let answered = 0;
    let short = 0;
    for (const { stats } of all) {
      answered += stats.answered + stats.short;
      short += stats.short;
    }
    for (const { backend, stats } of all) {
      const failure = failureOf(backend, stats, { answered, short }, nowMs);
      if (failure === undefined) {
        release(backend, nowMs);
      } else {
        hold(backend, failure, stats, nowMs);
      }
    }
  }

  function hold(
    backend: KnownBackend,
    failure: Failure,
    signals: AnswerStats,
    nowMs: number,
  ): void {
    const { id } = backend;
    const before = held.get(id);
    const next = longerHold(before, failure, nowMs);
    held.set(id, next);
    const isNew = before === undefined || nowMs >= before.untilMs;
    if (isNew && news.length < MAX_NEWS) {
      news.push({
        backendId: id,
        failure,
        holdMs: next.holdMs,
        evidence: { ...signals, busy: busyAt(backend) },
      });
    }
  }

  /** One that stalled is sound once somebody gets something from it; all are forgotten after a while without a sign. */
  function release({ id, local }: KnownBackend, nowMs: number): void {
    const known = held.get(id);
    if (known === undefined) {
      return;
    }
    const hasRecovered = known.failure === 'stalls' && local.lastProgressAtMs > known.failedAtMs;
    if (hasRecovered || nowMs - known.untilMs > LONGEST_HOLD_MS) {
      held.delete(id);
    }
  }
}

/** While it goes on to fail the hold is the same; one that ran out and fails again is held for longer. */
function longerHold(known: Held | undefined, failure: Failure, nowMs: number): Held {
  const isNew = known === undefined || nowMs >= known.untilMs;
  const before = known?.holdMs ?? SHORTEST_HOLD_MS / 2;
  const holdMs = isNew ? Math.min(LONGEST_HOLD_MS, 2 * before) : before;
  return { untilMs: nowMs + holdMs, holdMs, failedAtMs: nowMs, failure };
}

/** What the flows of a back end show at all balancers together. */
export interface EjectionEvidence extends AnswerStats {
  /** Requests in progress. */
  readonly busy: number;
}

interface AnswersOfService {
  /** Usual and short ones. */
  readonly answered: number;
  readonly short: number;
}

function failureOf(
  backend: KnownBackend,
  signals: AnswerStats,
  service: AnswersOfService,
  nowMs: number,
): Failure | undefined {
  // Nearly all show neither: what follows is for the few.
  if (signals.stalled < LEAST_STALLED && signals.short < LEAST_SHORT) {
    return undefined;
  }
  if (isStalled(backend, signals, nowMs)) {
    return 'stalls';
  }
  return answersShort(signals, service) ? 'answers-short' : undefined;
}

function isStalled(backend: KnownBackend, { stalled }: AnswerStats, nowMs: number): boolean {
  const isMost = stalled >= LEAST_STALLED && stalled >= STALLED_SHARE * busyAt(backend);
  return isMost && nowMs - backend.local.lastProgressAtMs >= QUIET_MS;
}

function answersShort({ answered, short }: AnswerStats, service: AnswersOfService): boolean {
  const all = answered + short;
  const elsewhere = (service.short - short) / Math.max(1, service.answered - all);
  const isFar = short >= SHORT_SHARE * all && short >= TIMES_OTHERS * elsewhere * all;
  return short >= LEAST_SHORT && isFar;
}

/** @returns requests in progress at all balancers */
function busyAt({ local, fleet }: KnownBackend): number {
  return local.busy + fleet.busy;
}
