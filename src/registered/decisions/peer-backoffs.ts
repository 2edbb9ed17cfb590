/**
 * @file Decides how long a peer is not asked again for its feed. A peer that refused may have room again soon; one that could
 * not be reached, or does not support peer feeds, is asked later.
 */
import type { BalancerInfo } from '../group/group-messages.js';

/** Peers that have failed lately. */
export interface PeerBackoffs {
  /** @returns the peers that have not failed; if there are none, those whose backoff is over */
  available(peers: readonly BalancerInfo[], nowMs: number): readonly BalancerInfo[];
  /** @param isBrief true if the peer answered, but gave no feed that is of use */
  record(name: string, isBrief: boolean, nowMs: number): void;
  forget(name: string): void;
}

interface Backoff {
  readonly untilMs: number;
  readonly delayMs: number;
}

const BRIEF_BACKOFF_MS = 2_000;
const BACKOFF_MS = 4_000;
/** Backoffs double with each further failure up to this limit. */
const MAX_BACKOFF_MS = 30_000;

/** @returns backoffs of no peer */
export function createPeerBackoffs(): PeerBackoffs {
  let byName = new Map<string, Backoff>();

  return { available, record, forget: (name) => void byName.delete(name) };

  function available(peers: readonly BalancerInfo[], nowMs: number): readonly BalancerInfo[] {
    forgetUnlisted(peers);
    const withoutFailure = peers.filter(({ name }) => !byName.has(name));
    return withoutFailure.length > 0
      ? withoutFailure
      : peers.filter(({ name }) => (byName.get(name)?.untilMs ?? 0) <= nowMs);
  }

  /** Bounds the table by the number of known balancers. */
  function forgetUnlisted(peers: readonly BalancerInfo[]): void {
    const names = new Set(peers.map(({ name }) => name));
    byName = new Map([...byName].filter(([name]) => names.has(name)));
  }

  function record(name: string, isBrief: boolean, nowMs: number): void {
    const firstDelayMs = isBrief ? BRIEF_BACKOFF_MS : BACKOFF_MS;
    const doubledMs = 2 * (byName.get(name)?.delayMs ?? 0);
    const delayMs = Math.min(MAX_BACKOFF_MS, Math.max(firstDelayMs, doubledMs));
    byName.set(name, { untilMs: nowMs + delayMs, delayMs });
  }
}
