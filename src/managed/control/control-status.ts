/**
 * @file What a control machine knows of its cluster, for operators and tests.
 */
import {
  currentMembership,
  type ConsensusRole,
  type ConsensusState,
} from '../../shared/consensus/consensus-state.js';
import type { Member, NodeId } from '../../shared/consensus/membership.js';
import { balancerReports } from '../dissemination/publisher.js';
import { machinesToAdd, type AnnouncedMachine } from './cluster-join.js';
import type { ControlState } from './control-state.js';

/** A member, with what the leader knows of it. */
interface MemberStatus extends Member {
  /** Highest index known to be on its disk; only at the leader. */
  readonly matchIndex?: number;
  /** Time since its last message, in milliseconds; only at the leader. */
  readonly silentMs?: number;
}

/** The cluster as one machine knows it; only the leader's knowledge is current. */
export interface ControlStatus {
  readonly nodeId: NodeId;
  readonly storageId: string;
  readonly clusterId: string | undefined;
  readonly role: ConsensusRole['name'];
  readonly storageFailed: boolean;
  readonly term: number;
  readonly leaderId: NodeId | undefined;
  readonly commitIndex: number;
  readonly members: readonly MemberStatus[];
  /** Machines with an empty disk that ask to be added. */
  readonly waiting: readonly AnnouncedMachine[];
  /** Why a peer refused this machine. */
  readonly refusal: string | undefined;
  /** Balancers that report to this machine, with the index that each has in force. */
  readonly balancers: readonly ReportingBalancer[];
}

/** A balancer that reports to a control machine. */
interface ReportingBalancer {
  readonly balancerId: string;
  readonly index: number;
}

/**
 * @returns the cluster as this machine knows it
 */
export function controlStatus(state: ControlState, nowMs: number): ControlStatus {
  const { consensus, join } = state;
  const { nodeId, storageId, clusterId, role, storageFailed, term, leaderId, commitIndex } =
    consensus;
  return {
    nodeId,
    storageId,
    clusterId,
    role: role.name,
    storageFailed,
    term,
    leaderId,
    commitIndex,
    members: currentMembership(consensus).members.map((member) =>
      memberStatus(consensus, member, nowMs),
    ),
    waiting: machinesToAdd(join, consensus, nowMs),
    refusal: join.refusal,
    balancers: balancerReports(state.publisher).map(({ balancerId, index }) => ({
      balancerId,
      index,
    })),
  };
}

function memberStatus(consensus: ConsensusState, member: Member, nowMs: number): MemberStatus {
  const { role } = consensus;
  if (role.name !== 'leader') {
    return member;
  }
  if (member.nodeId === consensus.nodeId) {
    return { ...member, matchIndex: consensus.persistedIndex, silentMs: 0 };
  }
  const progress = role.progress.get(member.nodeId);
  return progress === undefined
    ? member
    : { ...member, matchIndex: progress.matchIndex, silentMs: nowMs - progress.receivedAtMs };
}
