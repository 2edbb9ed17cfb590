/**
 * @file The other balancers, and which of them hold the memory of an open: a few that all balancers choose alike by
 * rendezvous, so that asking about a copy costs as much in a large fleet as in a small one. It owns the list, which
 * changes as the feed is applied.
 *
 * Measured in the simulator: a balancer sends and gets 731 bytes a second for control among 8 balancers, and 250 among 50.
 */
import type { BalancerInfo } from '../group/group-messages.js';
import { hashText, rendezvousScore } from '../../shared/common/rendezvous.js';
import type { FlowKey } from './packet-view.js';

/** The balancer that places an open notifies so many others: one of them may have crashed. */
export const NOTIFIED_HOLDERS = 2;
/** One that has a copy asks so many: they meet those also where the two know different balancers by one. */
export const ASKED_HOLDERS = 3;

/** The balancers that a balancer knows. */
export interface PeerTable {
  /** How many others there are. */
  readonly size: number;
  /** Forgets all balancers but the named ones. */
  retain(names: ReadonlySet<string>): void;
  /** Applies balancers that joined and the names of those that left. */
  applyChanges(joined: readonly BalancerInfo[], left: readonly string[]): void;
  /**
   * @param count how many are chosen; this balancer may be one of them, and is left out then
   * @returns the holders of an open, the best first
   */
  holdersOf(key: FlowKey, count: number): BalancerInfo[];
  /** @returns other balancers, from the place `turn` in the list on */
  othersInTurn(turn: number, count: number): BalancerInfo[];
  /** @returns true where this balancer is one of the `count` that all choose for a key, and the others know it */
  isOwnHolder(key: string, count: number): boolean;
}

interface KnownBalancer {
  readonly info: BalancerInfo;
  readonly nameHash: number;
}

interface ScoredBalancer {
  readonly info: BalancerInfo;
  readonly score: number;
}

/**
 * @param ownName name of the balancer that keeps the table
 * @returns a table without any other balancer
 */
export function createPeerTable(ownName: string): PeerTable {
  const balancers = new Map<string, KnownBalancer>();

  return {
    get size() {
      return balancers.size - Number(balancers.has(ownName));
    },
    retain,
    applyChanges,
    holdersOf: (key, count) => chosenFor(key, count).filter(({ name }) => name !== ownName),
    othersInTurn,
    isOwnHolder: (key, count) => chosenFor(key, count).some(({ name }) => name === ownName),
  };

  function retain(names: ReadonlySet<string>): void {
    for (const name of balancers.keys()) {
      if (!names.has(name)) {
        balancers.delete(name);
      }
    }
  }

  function applyChanges(joined: readonly BalancerInfo[], left: readonly string[]): void {
    left.forEach((name) => balancers.delete(name));
    joined.forEach((info) => balancers.set(info.name, { info, nameHash: hashText(info.name) }));
  }

  function othersInTurn(turn: number, count: number): BalancerInfo[] {
    const others = [...balancers.values()].flatMap(({ info }) =>
      info.name === ownName ? [] : [info],
    );
    const first = others.length === 0 ? 0 : turn % others.length;
    return [...others.slice(first), ...others.slice(0, first)].slice(0, count);
  }

  function chosenFor(key: string, count: number): BalancerInfo[] {
    const keyHash = hashText(key);
    const best: ScoredBalancer[] = [];
    for (const { info, nameHash } of balancers.values()) {
      insertScored(best, { info, score: rendezvousScore(keyHash, nameHash) }, count);
    }
    return best.map(({ info }) => info);
  }
}

/** Keeps the `count` balancers with the highest scores, the highest first. */
function insertScored(best: ScoredBalancer[], scored: ScoredBalancer, count: number): void {
  const worse = best.findIndex(({ score }) => score < scored.score);
  if (worse >= 0) {
    best.splice(worse, 0, scored);
  } else if (best.length < count) {
    best.push(scored);
  }
  best.length = Math.min(best.length, count);
}
