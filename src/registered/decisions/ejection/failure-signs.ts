/**
 * @file Do the answers of a back end show that it fails, though its heartbeats and its health are good?
 *
 * - Inputs: its answer stats over all balancers (flows; answers that fade, so no whole numbers), those of its service,
 *   requests in progress, and when something of it last came through this balancer (milliseconds).
 * - Returns: what it shows, or undefined. It decides nothing; `by-answers` does.
 * - Reason: a back end without power or link takes packets and shows no sign of life. Until its heartbeats are missed,
 *   three seconds later, it would get its share of new flows, each of which waits for 1.4 s until its client gives up.
 *   And a back end that refuses much of what it gets answers at once, so that by its times and its load it is the best.
 * - Measured as a whole: on a day with back ends that fail at once, 73 answers with an error without it and 48 with it,
 *   a share of 0.004 and 0.001 of the requests failed. No constant was measured by itself.
 */
import type { AnswerStats } from '../../load-exchange/answer-stats.js';
import { busyInFleet, type KnownBackend } from '../../ingress/known-backend.js';

/** What a back end shows that fails; log lines and metrics use the same words. */
export type Failure =
  /** What clients send there is not acknowledged. */
  | 'stalls'
  /** Many of its answers are far shorter than those of the others. */
  | 'answers-short';

/** Answers of a whole service over all balancers. */
interface ServiceAnswers {
  /** Usual and short ones. */
  readonly answered: number;
  readonly short: number;
}

/**
 * A single flow may have lost a packet and its copy, so two must stall. Too low if back ends are ejected where
 * datagrams are lost; too high if dark back ends of a service with few flows are not.
 */
const LEAST_STALLED = 2;
/** A back end that answers has others in progress that don't stall. Too low if busy back ends on a lossy link are ejected. */
const STALLED_SHARE = 0.5;
/**
 * Where something of it came through this balancer so lately, in milliseconds, the path of other balancers fails. Longer
 * than 200 and 600 ms, after which clients repeat. Too long if dark back ends that were busy are ejected late.
 */
const QUIET_MS = 1_000;
/** Single answers may be short, and errors may be the caller's. Too low if callers' own errors eject back ends. */
const LEAST_SHORT = 3;
/**
 * Where one request in six fails, another back end serves the caller better, even one that is half as fast. Too high if
 * `amberlift_ingress_backend_short_answers` stays high at back ends that are not ejected.
 */
const SHORT_SHARE = 1 / 6;
/** ... and so many times as often as elsewhere: where all answers are short, the route is there for them. */
const TIMES_OTHERS = 4;

/** @returns what the answers of one service come to */
export function serviceAnswers(all: Iterable<{ readonly stats: AnswerStats }>): ServiceAnswers {
  let answered = 0;
  let short = 0;
  for (const { stats } of all) {
    answered += stats.answered + stats.short;
    short += stats.short;
  }
  return { answered, short };
}

/**
 * @param stats of the back end over all balancers
 * @param service of all back ends of its service, this one included
 * @returns undefined for nearly all back ends
 */
export function failureOf(
  backend: KnownBackend,
  stats: AnswerStats,
  service: ServiceAnswers,
  nowMs: number,
): Failure | undefined {
  if (stats.stalled < LEAST_STALLED && stats.short < LEAST_SHORT) {
    return undefined;
  }
  if (isStalled(backend, stats, nowMs)) {
    return 'stalls';
  }
  return answersShort(stats, service) ? 'answers-short' : undefined;
}

function isStalled(backend: KnownBackend, { stalled }: AnswerStats, nowMs: number): boolean {
  const isMost = stalled >= LEAST_STALLED && stalled >= STALLED_SHARE * busyInFleet(backend);
  return isMost && nowMs - backend.local.lastProgressAtMs >= QUIET_MS;
}

function answersShort({ answered, short }: AnswerStats, service: ServiceAnswers): boolean {
  const all = answered + short;
  const elsewhere = (service.short - short) / Math.max(1, service.answered - all);
  const isFar = short >= SHORT_SHARE * all && short >= TIMES_OTHERS * elsewhere * all;
  return short >= LEAST_SHORT && isFar;
}
