/**
 * @file Detects failures of a back end from its answers, though its heartbeats and health checks succeed: it
 * acknowledges nothing, or it answers fast with errors. Until missed heartbeats show a dead back end, after three seconds, each
 * open placed there costs its client 1.4 s; and a back end that fails at once is the best by its times and load.
 */
import type { AnswerStats } from '../../load-exchange/answer-stats.js';
import { busyInFleet, type KnownBackend } from '../../ingress/known-backend.js';

/** A failure of a back end; log lines and metrics use the same words. */
export type Failure =
  /** Packets of its clients are not acknowledged. */
  | 'stalls'
  /** Many of its answers are far shorter than usual on their route. */
  | 'answers-short'
  /** Several balancers agree that it acknowledges nothing. */
  | 'unacknowledged'
  /** Several balancers agree that it answers nothing in the usual time. */
  | 'unanswered';

/** Answers of a whole service over all balancers, with exponential decay. */
interface ServiceAnswers {
  /** Includes the short ones. */
  readonly answered: number;
  readonly short: number;
}

/** Two, since a single flow may have lost a packet and its retransmission. */
const MIN_STALLED_FLOWS = 2;
/** Share of the requests in progress; a working back end on a lossy link has others that do not stall. */
const MIN_STALLED_SHARE = 0.5;
/**
 * More recent progress through this balancer shows that the path of the others fails. Longer than the first
 * two retransmission timeouts of clients (200 and 600 ms).
 */
const NO_PROGRESS_MS = 1_000;
/** A few short answers are normal, and errors may be caused by the caller. */
const MIN_SHORT_ANSWERS = 3;
/** Share of all answers of the back end; beyond it, even a back end of half the speed serves callers better. */
const MIN_SHORT_SHARE = 1 / 6;
/** Multiple of the share of short answers at the other back ends; some routes have only short answers. */
const OTHERS_SHARE_FACTOR = 4;

/** @returns the sums over all back ends of one service */
export function sumAnswers(all: Iterable<{ readonly stats: AnswerStats }>): ServiceAnswers {
  let answered = 0;
  let short = 0;
  for (const { stats } of all) {
    answered += stats.answered + stats.short;
    short += stats.short;
  }
  return { answered, short };
}

/**
 * @param stats stats of the back end over all balancers
 * @param service sums over its service, the back end included
 * @returns the failure; undefined if none is detected
 */
export function detectFailure(
  backend: KnownBackend,
  stats: AnswerStats,
  service: ServiceAnswers,
  nowMs: number,
): Failure | undefined {
  if (stats.stalled < MIN_STALLED_FLOWS && stats.short < MIN_SHORT_ANSWERS) {
    return undefined;
  }
  if (isStalled(backend, stats, nowMs)) {
    return 'stalls';
  }
  return answersTooShort(stats, service) ? 'answers-short' : undefined;
}

function isStalled(backend: KnownBackend, { stalled }: AnswerStats, nowMs: number): boolean {
  const stallsEnough =
    stalled >= MIN_STALLED_FLOWS && stalled >= MIN_STALLED_SHARE * busyInFleet(backend);
  return stallsEnough && nowMs - backend.local.lastProgressAtMs >= NO_PROGRESS_MS;
}

function answersTooShort({ answered, short }: AnswerStats, service: ServiceAnswers): boolean {
  const ownAnswers = answered + short;
  const othersShare = (service.short - short) / Math.max(1, service.answered - ownAnswers);
  const isOutlier =
    short >= MIN_SHORT_SHARE * ownAnswers &&
    short >= OTHERS_SHARE_FACTOR * othersShare * ownAnswers;
  return short >= MIN_SHORT_ANSWERS && isOutlier;
}
