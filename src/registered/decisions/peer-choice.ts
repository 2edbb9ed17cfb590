/**
 * @file Chooses which balancer is asked for its feed next: of the own zone first, spread over all, those that have not failed
 * first. Attempts become rare where one after the other fails, so that a fleet without any current balancer stays quiet.
 */
import type { BalancerInfo } from '../group/group-messages.js';
import { createPeerBackoffs } from './peer-backoffs.js';

interface PeerChoiceOptions {
  readonly zone: string;
  /** An integer hash of this balancer: spreads balancers over peers. */
  readonly spread: number;
}

/** The next peer of one balancer, and when it is asked. */
export interface PeerChoice {
  /** @returns undefined while none is to be asked */
  choose(peers: readonly BalancerInfo[], nowMs: number): BalancerInfo | undefined;
  /** Records that a peer has sent its feed. */
  recordFeed(name: string): void;
  /**
   * Records that the link to a peer is closed.
   * @returns the delay before the next attempt, in milliseconds
   */
  recordClosed(name: string, outcome: PeerOutcome, nowMs: number): number;
}

/** How a link to a peer ended. */
type PeerOutcome =
  /** It was of no further use. */
  | 'done'
  /** The peer answered, but gave no feed that is of use. */
  | 'refused'
  /** The peer could not be reached, was silent, or does not support peer feeds. */
  | 'failed';

/** Attempts in the own zone before other zones are tried too; the whole zone may be cut off. */
const OWN_ZONE_ATTEMPTS = 3;
const FIRST_RETRY_DELAY_MS = 40;
const MAX_RETRY_DELAY_MS = 1_000;
/** Attempts that follow each other at the first delay; then the delay doubles. */
const QUICK_ATTEMPTS = 3;

/** @returns a choice without failed attempts */
export function createPeerChoice({ zone: ownZone, spread }: PeerChoiceOptions): PeerChoice {
  const backoffs = createPeerBackoffs();
  let failedAttempts = 0;
  let nextAttemptAtMs = Number.NEGATIVE_INFINITY;

  return { choose, recordFeed, recordClosed };

  /** The first attempts and each second one after them go to the own zone. */
  function choose(peers: readonly BalancerInfo[], nowMs: number): BalancerInfo | undefined {
    if (nowMs < nextAttemptAtMs) {
      return undefined;
    }
    const available = backoffs.available(peers, nowMs);
    const ownZonePeers = available.filter(({ zone }) => zone === ownZone);
    const remotePeers = available.filter(({ zone }) => zone !== ownZone);
    const remoteAttempts = failedAttempts - OWN_ZONE_ATTEMPTS;
    const prefersOwnZone = remoteAttempts < 0 || remoteAttempts % 2 === 1;
    const [first, second] = prefersOwnZone
      ? [ownZonePeers, remotePeers]
      : [remotePeers, ownZonePeers];
    const pool = first.length > 0 ? first : second;
    return pool[(spread + failedAttempts) % pool.length];
  }

  function recordFeed(name: string): void {
    failedAttempts = 0;
    backoffs.forget(name);
  }

  function recordClosed(name: string, outcome: PeerOutcome, nowMs: number): number {
    if (outcome === 'done') {
      failedAttempts = 0;
    } else {
      failedAttempts += 1;
      backoffs.record(name, outcome === 'refused', nowMs);
    }
    const doublings = Math.max(0, failedAttempts - QUICK_ATTEMPTS);
    const delayMs = Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** doublings);
    nextAttemptAtMs = nowMs + delayMs;
    return delayMs;
  }
}
