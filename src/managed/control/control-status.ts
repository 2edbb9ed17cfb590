/**
 * @file Status of the cluster as seen by one control machine, for operators and tests.
 */
import {
  currentMembership,
  type ConsensusRole,
  type ConsensusState,
} from '../../shared/consensus/consensus-state.js';
import type { Member, NodeId } from '../../shared/consensus/membership.js';
import { balancerReports } from '../dissemination/publisher.js';
import { joinCandidates, type AnnouncedMachine } from './cluster-join.js';
import type { ControlState } from './control-state.js';

/** A member with its replication progress. */
interface MemberStatus extends Member {
  /** Highest log index known to be persisted on the member; only on the leader. */
  readonly matchIndex?: number;
  /** Time since its last message, in milliseconds; only on the leader. */
  readonly silentMs?: number;
}

/** The cluster as seen by one machine; may be outdated unless this machine is the leader. */
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
  /** Machines without a cluster that announced themselves recently. */
  readonly waiting: readonly AnnouncedMachine[];
  /** Reason of the last refusal by a peer. */
  readonly refusal: string | undefined;
  readonly balancers: readonly ReportingBalancer[];
}

/** A balancer that reports to this machine. */
interface ReportingBalancer {
  readonly balancerId: string;
  /** Log index of the configuration that is in force on the balancer. */
  readonly index: number;
}

/**
 * @returns the status of the cluster as seen by this machine
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
    waiting: joinCandidates(join, consensus, nowMs),
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
