/** @file Drives one member of a three-voter group event by event. */
import { seededRandom } from '../../../src/shared/common/random.js';
import type {
  ConsensusEffect,
  ConsensusEvent,
} from '../../../src/shared/consensus/consensus-events.js';
import { consensusStep } from '../../../src/shared/consensus/consensus-step.js';
import {
  createConsensusState,
  defaultConsensusOptions,
  type ConsensusState,
} from '../../../src/shared/consensus/consensus-state.js';
import type { EntryContent, LogEntry } from '../../../src/shared/consensus/log.js';
import type { Member, Membership } from '../../../src/shared/consensus/membership.js';
import type { LogRecord } from '../../../src/shared/consensus/persisted-state.js';
import type { ConsensusMessage } from '../../../src/shared/consensus/messages.js';

const address = { host: '127.0.0.1', port: 1 };

/** The voters `a`, `b` and `c`. */
export const membership: Membership = {
  members: ['a', 'b', 'c'].map((nodeId): Member => {
    const addresses = { linkAddress: address, operatorAddress: address };
    return { nodeId, storageId: `${nodeId}-disk`, role: 'voter', ...addresses };
  }),
};

/** Returns an entry with a command that is unique per index and term. */
export function entry(index: number, term: number): LogEntry {
  const content: EntryContent = { type: 'command', data: Buffer.from(`${index}/${term}`) };
  return { index, term, content };
}

/** Member `a` of the group; its writes stay pending until `finishWrites`. */
export class SingleMember {
  readonly state: ConsensusState;
  nowMs = 0;
  private readonly random = seededRandom(1);
  private readonly writes: number[] = [];

  /** @param records log records on its disk, after an empty base */
  constructor(records: readonly LogRecord[] = []) {
    const base: LogRecord = { type: 'base', base: { index: 0, term: 0 } };
    const disk = { storageId: 'a-disk', snapshot: undefined, records: [base, ...records] };
    this.state = createConsensusState('a', disk, {
      ...defaultConsensusOptions,
      trailingEntries: 0,
    });
  }

  /** Creates a voter in `term` whose log holds the membership at index 1, then `entries`. */
  static voter(term: number, ...entries: LogEntry[]): SingleMember {
    const first: LogEntry = { index: 1, term: 1, content: { type: 'membership', membership } };
    return new SingleMember([
      { type: 'cluster', clusterId: 'cluster' },
      { type: 'vote', term, votedFor: undefined },
      { type: 'entries', entries: [first, ...entries] },
    ]);
  }

  /** Number of its last confirmation round as leader, or -1 if it is not the leader. */
  get round(): number {
    return this.state.role.name === 'leader' ? this.state.role.round : -1;
  }

  step(event: ConsensusEvent): ConsensusEffect[] {
    const effects = consensusStep(this.state, event, { nowMs: this.nowMs, random: this.random });
    for (const effect of effects) {
      if (effect.type === 'persist' || effect.type === 'persist-snapshot') {
        this.writes.push(effect.writeId);
      }
    }
    return effects;
  }

  /** Delivers a message from another member. */
  receive(from: string, message: ConsensusMessage, storageId = `${from}-disk`): ConsensusEffect[] {
    const sender = { nodeId: from, storageId };
    return this.step({ type: 'consensus-message', from: sender, message });
  }

  /** Completes the pending writes, in order. */
  finishWrites(): ConsensusEffect[] {
    const effects: ConsensusEffect[] = [];
    for (let writeId = this.writes.shift(); writeId !== undefined; writeId = this.writes.shift()) {
      effects.push(...this.step({ type: 'persisted', writeId }));
    }
    return effects;
  }

  /** Makes it leader with the vote of `b`. */
  becomeLeader(): void {
    this.becomeCandidate();
    this.receive('b', { type: 'vote-response', term: this.state.term, granted: true });
  }

  /** Makes it a candidate whose vote for itself is on disk. */
  becomeCandidate(): void {
    this.expireElectionTimeout();
    this.receive('b', { type: 'pre-vote-response', term: this.state.term + 1, granted: true });
    this.finishWrites();
  }

  /** Lets the election timeout expire, so that it starts a pre-vote. */
  expireElectionTimeout(): ConsensusEffect[] {
    this.step({ type: 'tick' });
    this.nowMs += 2 * this.state.options.electionTimeoutMs;
    return this.step({ type: 'tick' });
  }

  /** Delivers an acknowledgement of all entries up to `matchIndex`. */
  acknowledge(from: string, matchIndex: number, round = 0, storageId?: string): ConsensusEffect[] {
    const { term } = this.state;
    const success = true;
    const message = { type: 'append-response' as const, term, round, success, matchIndex } as const;
    return this.receive(from, message, storageId);
  }
}

/** Returns the messages that the effects send. */
export function sentMessages(effects: readonly ConsensusEffect[]): ConsensusMessage[] {
  return effects.flatMap((effect) => (effect.type === 'consensus-send' ? effect.message : []));
}
