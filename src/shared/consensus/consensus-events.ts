/**
 * @file Events and effects of the consensus step.
 */
import type { StepContext } from '../common/step.js';
import type { ConsensusState } from './consensus-state.js';
import type { LogEntry } from './log.js';
import type { ConsensusMessage, Sender } from './messages.js';
import type { MemberChange, Membership, NodeId } from './membership.js';
import type { PersistEffect, PersistEvent, Snapshot } from './persisted-state.js';

/** Why a proposal, a read or a membership change was refused or given up. */
export type RefusalKind = 'not-leader' | 'no-quorum' | 'storage-failed' | 'conflict' | 'not-found';

/** What can happen to a member. */
export type ConsensusEvent =
  | {
      readonly type: 'consensus-message';
      readonly from: Sender;
      readonly message: ConsensusMessage;
    }
  /** Append a command; answered by `proposal-appended` or `proposal-refused`. */
  | { readonly type: 'propose'; readonly proposalId: number; readonly data: Uint8Array }
  /** Confirm that this member leads; answered by `read-ready` or `read-refused`. */
  | { readonly type: 'read'; readonly readId: number }
  /** Answered like a proposal. */
  | {
      readonly type: 'change-membership';
      readonly proposalId: number;
      readonly change: MemberChange;
    }
  /** Begin a new cluster with these members; only for a machine that belongs to none. */
  | {
      readonly type: 'bootstrap';
      readonly clusterId: string;
      readonly membership: Membership;
    }
  /** A member of this cluster has called on this machine, which belonged to none. */
  | { readonly type: 'join-cluster'; readonly clusterId: string }
  /** Hand leadership to the voter that is furthest along; before a planned stop. */
  | { readonly type: 'transfer-leadership' }
  /** The state machine at an applied index, to compact the log. */
  | { readonly type: 'snapshot-taken'; readonly index: number; readonly data: Uint8Array }
  | PersistEvent
  | { readonly type: 'tick' };

/** What the step asks of its surroundings. */
export type ConsensusEffect =
  | PersistEffect
  | {
      readonly type: 'consensus-send';
      readonly to: NodeId;
      readonly message: ConsensusMessage;
    }
  /** Apply these entries, in order; they never revert. */
  | { readonly type: 'committed'; readonly entries: readonly LogEntry[] }
  /** Replace the state machine by this snapshot. */
  | { readonly type: 'restore-snapshot'; readonly snapshot: Snapshot }
  | {
      readonly type: 'proposal-appended';
      readonly proposalId: number;
      readonly index: number;
      readonly term: number;
    }
  | {
      readonly type: 'proposal-refused';
      readonly proposalId: number;
      readonly kind: RefusalKind;
      readonly reason: string;
    }
  | { readonly type: 'read-ready'; readonly readId: number }
  | { readonly type: 'read-refused'; readonly readId: number; readonly kind: RefusalKind }
  /** This member ceased to lead; entries not yet committed may or may not commit. */
  | { readonly type: 'leadership-lost'; readonly kind: RefusalKind }
  /** Role, term or known leader changed; for logs. */
  | { readonly type: 'role-changed' };

/** What the parts of one step share. */
export interface StepScope {
  readonly state: ConsensusState;
  readonly context: StepContext;
  /** Effects so far, in order. */
  readonly effects: ConsensusEffect[];
}
