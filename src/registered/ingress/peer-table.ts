/**
 * @file The other balancers, and which of them are the holders of an open, i.e. remember its placement. Holders are chosen
 * by rendezvous hashing, so that all balancers agree and the cost of a lookup does not depend on the size of the fleet.
 */
import type { BalancerInfo } from '../group/group-messages.js';
import { hashText, rendezvousScore } from '../../shared/common/rendezvous.js';
import type { FlowKey } from './packet-view.js';

/** Holders notified of a placement; tolerates the crash of one. */
export const NOTIFIED_HOLDERS = 2;
/** Holders queried about a copy; includes a notified one even if the balancer lists differ by one entry. */
export const ASKED_HOLDERS = 3;

/** The fleet as listed by the feed. */
export interface PeerTable {
  /** Number of other balancers. */
  readonly size: number;
  /** Removes all balancers that are not named. */
  retain(names: ReadonlySet<string>): void;
  /** @param removed names of balancers */
  applyChanges(added: readonly BalancerInfo[], removed: readonly string[]): void;
  /**
   * @param count holders to choose over the whole fleet; if this balancer is one of them, it is omitted
   * @returns the holders of an open, by descending score
   */
  holdersOf(key: FlowKey, count: number): BalancerInfo[];
  /** @returns up to `count` other balancers, from `offset` in the list with wraparound */
  rotatedPeers(offset: number, count: number): BalancerInfo[];
  /** @returns true if this balancer is listed and among the `count` holders of a key */
  isHolder(key: string, count: number): boolean;
}

interface BalancerEntry {
  readonly info: BalancerInfo;
  readonly nameHash: number;
}

interface ScoredBalancer {
  readonly info: BalancerInfo;
  readonly score: number;
}

/**
 * @param ownName name of this balancer
 * @returns an empty table
 */
export function createPeerTable(ownName: string): PeerTable {
  const balancers = new Map<string, BalancerEntry>();

  return {
    get size() {
      return balancers.size - Number(balancers.has(ownName));
    },
    retain,
    applyChanges,
    holdersOf: (key, count) => selectHolders(key, count).filter(({ name }) => name !== ownName),
    rotatedPeers,
    isHolder: (key, count) => selectHolders(key, count).some(({ name }) => name === ownName),
  };

  function retain(names: ReadonlySet<string>): void {
    for (const name of balancers.keys()) {
      if (!names.has(name)) {
        balancers.delete(name);
      }
    }
  }

  function applyChanges(added: readonly BalancerInfo[], removed: readonly string[]): void {
    removed.forEach((name) => balancers.delete(name));
    added.forEach((info) => balancers.set(info.name, { info, nameHash: hashText(info.name) }));
  }

  function rotatedPeers(offset: number, count: number): BalancerInfo[] {
    const others = [...balancers.values()].flatMap(({ info }) =>
      info.name === ownName ? [] : [info],
    );
    const start = others.length === 0 ? 0 : offset % others.length;
    return [...others.slice(start), ...others.slice(0, start)].slice(0, count);
  }

  function selectHolders(key: string, count: number): BalancerInfo[] {
    const keyHash = hashText(key);
    const best: ScoredBalancer[] = [];
    for (const { info, nameHash } of balancers.values()) {
      insertScored(best, { info, score: rendezvousScore(keyHash, nameHash) }, count);
    }
    return best.map(({ info }) => info);
  }
}

/** Inserts into a list sorted by descending score that is limited to `count` entries. */
function insertScored(best: ScoredBalancer[], scored: ScoredBalancer, count: number): void {
  const insertAt = best.findIndex(({ score }) => score < scored.score);
  if (insertAt >= 0) {
    best.splice(insertAt, 0, scored);
  } else if (best.length < count) {
    best.push(scored);
  }
  best.length = Math.min(best.length, count);
}
