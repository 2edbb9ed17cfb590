/** @file Raft safety invariants, checked across all control machines; a violation throws. */
import { isDeepStrictEqual } from 'node:util';
import type { ConsensusState } from '../../../src/shared/consensus/consensus-state.js';
import type { LogEntry } from '../../../src/shared/consensus/log.js';

/** Checks the consensus states of all machines. */
export class Invariants {
  private readonly leaderOfTerm = new Map<string, string>();
  private readonly committed = new Map<string, LogEntry>();
  private readonly checkedUpTo = new WeakMap<ConsensusState, number>();

  /** Election safety and state machine safety; called after each step. */
  check(state: ConsensusState): void {
    this.checkLeader(state);
    this.checkCommitted(state);
  }

  /** Log matching: if two logs have the same term at an index, they have the same terms at all earlier indexes. */
  checkLogMatching(states: readonly ConsensusState[]): void {
    for (const [position, one] of states.entries()) {
      for (const other of states.slice(position + 1)) {
        checkPair(one, other);
      }
    }
  }

  private checkLeader({ role, term, storageId, clusterId }: ConsensusState): void {
    if (role.name !== 'leader') {
      return;
    }
    const key = `${clusterId}, term ${term}`;
    const known = this.leaderOfTerm.get(key) ?? storageId;
    if (known !== storageId) {
      throw new Error(`Both ${known} and ${storageId} are leaders in ${key}.`);
    }
    this.leaderOfTerm.set(key, storageId);
  }

  private checkCommitted(state: ConsensusState): void {
    const from = Math.max(this.checkedUpTo.get(state) ?? 0, state.log.base.index);
    for (const entry of state.log.slice(from + 1, state.commitIndex)) {
      const key = `${state.clusterId}, index ${entry.index}`;
      const known = this.committed.get(key) ?? entry;
      if (known.term !== entry.term || !isDeepStrictEqual(known.content, entry.content)) {
        throw new Error(`${state.nodeId} committed a different entry ${entry.index}.`);
      }
      this.committed.set(key, entry);
    }
    this.checkedUpTo.set(state, state.commitIndex);
  }
}

function checkPair(one: ConsensusState, other: ConsensusState): void {
  const first = Math.max(one.log.base.index, other.log.base.index) + 1;
  let agrees = false;
  for (let index = Math.min(one.log.last.index, other.log.last.index); index >= first; index -= 1) {
    const isSame = one.log.termAt(index) === other.log.termAt(index);
    if (agrees && !isSame) {
      throw new Error(
        `${one.nodeId} and ${other.nodeId} differ at ${index}, but match at a later index.`,
      );
    }
    agrees ||= isSame;
  }
}
