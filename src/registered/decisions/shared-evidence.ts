/**
 * @file Rules on evidence that balancers share: what one reports of the flows through it, when several agree that a back
 * end does not respond, and when that proves, together with a missed heartbeat, that it is dead.
 */
import type { KnownBackend } from '../ingress/known-backend.js';
import { isRefuted } from '../load-exchange/merged-suspicions.js';
import {
  SUSPICION_LIFETIME_MS,
  type Suspicion,
  type SuspicionKind,
} from '../load-exchange/suspicion-rows.js';
import type { AnswerStats } from '../load-exchange/answer-stats.js';
import type { UnacknowledgedData } from './dead-flow.js';
import { MAX_EJECTED_SHARE_BY_ANSWERS } from './ejection/caps.js';

/** Suspicions of all balancers on one back end, with their times at this balancer. */
export interface FleetSuspicion extends Suspicion {
  /** When the table with this suspicion arrived, in milliseconds. */
  readonly receivedAtMs: number;
  /** Since when the tables name the back end without a break; its signs of life are reported from then on. */
  readonly reportedSinceMs: number;
}

/** Two, so that the path of a single balancer is not taken for the back end. */
const MIN_BALANCERS = 2;
const MIN_FLOWS_TO_PASS_OVER = 2;
/** Waiting flows that are usual in the service count this many times; a lossy link shows them at all back ends. */
const USUAL_FLOWS_FACTOR = 2;

/** One more than it takes to pass over. */
const MIN_FLOWS_TO_END = 3;
/** Unanswered copies over all flows; all of them lost by chance is rarer than the three of a single flow. */
const MIN_REPEATS_TO_END = 6;
/** Longer than the suspicion takes to reach all balancers, and their signs of life to come back. */
const MIN_REPORTED_MS = 400;
/** A refresh interval and a margin. */
const MAX_REPORT_AGE_MS = 1_500;

/** Multiple of the usual answer time of the service above which a request is late. */
const LATE_FACTOR = 6;
/** Longer than the retransmission of a lost packet (200 ms). */
export const MIN_LATE_MS = 500;
/** Below this many answers the usual time is unknown. */
const MIN_ANSWERS = 8;

const KINDS: readonly SuspicionKind[] = ['unacknowledged', 'unanswered'];

/** @returns the evidence of this balancer on one back end: waiting flows, or a sign of life that refutes others */
export function ownSuspicions(backend: KnownBackend, nowMs: number): Suspicion[] {
  return KINDS.flatMap((kind) => ownSuspicion(backend, kind, nowMs) ?? []);
}

function ownSuspicion(
  backend: KnownBackend,
  kind: SuspicionKind,
  nowMs: number,
): Suspicion | undefined {
  const reported = backend.fleet.suspicions[kind];
  const lastSignAtMs = lastSignOf(backend, kind);
  const knownSignAtMs = Math.max(lastSignAtMs, backend.fleet.lastSignsAtMs[kind]);
  const waits = backend.local.waits[kind].summarize(
    (sinceMs) => !isRefuted(sinceMs, knownSignAtMs),
  );
  const refutesOthers =
    reported !== undefined && reported.flows > 0 && isRefuted(reported.sinceMs, lastSignAtMs);
  if (waits.flows === 0 && !refutesOthers) {
    return undefined;
  }
  return {
    token: backend.token,
    kind,
    balancers: waits.flows > 0 ? 1 : 0,
    flows: waits.flows,
    repeats: waits.repeats,
    sinceMs: Math.min(nowMs, waits.sinceMs),
    // Another sign would come back later than it was, and refute the own waits.
    lastSignAtMs: refutesOthers ? lastSignAtMs : -Infinity,
    isOverdue: false,
  };
}

function lastSignOf({ local }: KnownBackend, kind: SuspicionKind): number {
  return kind === 'unacknowledged' ? local.lastProgressAtMs : local.lastAnswerAtMs;
}

/** @returns the suspicion of all balancers; undefined if it has expired, or a sign of life here refutes it */
export function suspicionOf(
  backend: KnownBackend,
  kind: SuspicionKind,
  nowMs: number,
): FleetSuspicion | undefined {
  const reported = backend.fleet.suspicions[kind];
  const counts =
    reported !== undefined &&
    reported.flows > 0 &&
    nowMs - reported.receivedAtMs <= SUSPICION_LIFETIME_MS &&
    !isRefuted(reported.sinceMs, lastSignOf(backend, kind));
  return counts ? reported : undefined;
}

/** Number of waiting flows that are usual in a service, by kind. */
export type UsualWaits = Readonly<Record<SuspicionKind, number>>;

/** @returns what the back ends of one service show that do not fail, if as many fail as ejection may remove */
export function usualWaits(service: readonly KnownBackend[], nowMs: number): UsualWaits {
  const usualOf = (kind: SuspicionKind) =>
    quantile(
      service.map((backend) => suspicionOf(backend, kind, nowMs)?.flows ?? 0),
      1 - MAX_EJECTED_SHARE_BY_ANSWERS,
    );
  return { unacknowledged: usualOf('unacknowledged'), unanswered: usualOf('unanswered') };
}

/** @returns the kind of evidence for which new flows pass over a back end; undefined if there is too little */
export function agreedSuspicion(
  backend: KnownBackend,
  usual: UsualWaits,
  nowMs: number,
): SuspicionKind | undefined {
  return KINDS.find((kind) => {
    const suspicion = suspicionOf(backend, kind, nowMs);
    return (
      suspicion !== undefined &&
      suspicion.balancers >= MIN_BALANCERS &&
      suspicion.flows >= MIN_FLOWS_TO_PASS_OVER + USUAL_FLOWS_FACTOR * usual[kind]
    );
  });
}

/**
 * Decides whether several balancers and a missed heartbeat prove that a back end is dead. A back end that is cut off from
 * control machines alone shows signs of life; one that is cut off from balancers alone is not overdue.
 * @param unacknowledged data of the flow that would be reset
 */
export function isProvenDeadByFleet(
  backend: KnownBackend,
  unacknowledged: UnacknowledgedData,
  isFeedCurrent: boolean,
  nowMs: number,
): boolean {
  const suspicion = suspicionOf(backend, 'unacknowledged', nowMs);
  return (
    suspicion !== undefined &&
    isFeedCurrent &&
    suspicion.isOverdue &&
    suspicion.balancers >= MIN_BALANCERS &&
    suspicion.flows >= MIN_FLOWS_TO_END &&
    suspicion.repeats >= MIN_REPEATS_TO_END &&
    nowMs - suspicion.reportedSinceMs >= MIN_REPORTED_MS &&
    nowMs - suspicion.receivedAtMs <= MAX_REPORT_AGE_MS &&
    unacknowledged.retransmissions > 0 &&
    !isRefuted(unacknowledged.sinceMs, backend.local.lastProgressAtMs)
  );
}

/** @returns the time after which a request counts as late; infinity while the usual answer time is unknown */
export function lateAfterMs({
  answered,
  answerMs,
}: Pick<AnswerStats, 'answered' | 'answerMs'>): number {
  return answered < MIN_ANSWERS
    ? Infinity
    : Math.max(MIN_LATE_MS, (LATE_FACTOR * answerMs) / answered);
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
}
