/**
 * @file Types of the events that the consensus step handles and of the effects that it returns.
 */
import type { StepContext } from '../common/step.js';
import type { ConsensusState } from './consensus-state.js';
import type { LogEntry } from './log.js';
import type { ConsensusMessage, Sender } from './messages.js';
import type { MemberChange, Membership, NodeId } from './membership.js';
import type { PersistEffect, PersistEvent, Snapshot } from './persisted-state.js';

/** Why a proposal, a read or a membership change was refused or abandoned. */
export type RefusalKind = 'not-leader' | 'no-quorum' | 'storage-failed' | 'conflict' | 'not-found';

/** Input of the consensus step. */
export type ConsensusEvent =
  | {
      readonly type: 'consensus-message';
      readonly from: Sender;
      readonly message: ConsensusMessage;
    }
  /** Appends a command; answered by `proposal-appended` or `proposal-refused`. */
  | { readonly type: 'propose'; readonly proposalId: number; readonly data: Uint8Array }
  /** Confirms that this member is the leader; answered by `read-ready` or `read-refused`. */
  | { readonly type: 'read'; readonly readId: number }
  /** Answered by `proposal-appended` or `proposal-refused`. */
  | {
      readonly type: 'change-membership';
      readonly proposalId: number;
      readonly change: MemberChange;
    }
  /** Starts a new cluster with these members; ignored if this machine already belongs to a cluster. */
  | {
      readonly type: 'bootstrap';
      readonly clusterId: string;
      readonly membership: Membership;
    }
  /** Joins the cluster of a member that contacted this machine; ignored if it already belongs to one. */
  | { readonly type: 'join-cluster'; readonly clusterId: string }
  /** Hands leadership to the most up-to-date voter, before a planned stop. */
  | { readonly type: 'transfer-leadership' }
  /** Encoded state machine at an applied index; allows the log to be compacted. */
  | { readonly type: 'snapshot-taken'; readonly index: number; readonly data: Uint8Array }
  | PersistEvent
  | { readonly type: 'tick' };

/** Output of the consensus step, to be carried out by the caller. */
export type ConsensusEffect =
  | PersistEffect
  | {
      readonly type: 'consensus-send';
      readonly to: NodeId;
      readonly message: ConsensusMessage;
    }
  /** Apply these entries in order; they are never reverted. */
  | { readonly type: 'committed'; readonly entries: readonly LogEntry[] }
  /** Replace the state machine with this snapshot. */
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
  /** This member is no longer the leader; its uncommitted entries may or may not commit. */
  | { readonly type: 'leadership-lost'; readonly kind: RefusalKind }
  /** The role or the known leader changed. */
  | { readonly type: 'role-changed' };

/** State, context and effects that the handlers of one step share. */
export interface StepScope {
  readonly state: ConsensusState;
  readonly context: StepContext;
  /** Effects collected so far, in order. */
  readonly effects: ConsensusEffect[];
}
