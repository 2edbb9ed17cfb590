/**
 * @file State of a control machine: consensus, replicated state and pending requests. Each part has one owner that
 * modifies it: `cluster` `apply-command.ts`, `publisher` `dissemination/publisher.ts`, `leaseAuthority`
 * `dissemination/lease-authority.ts`, `consensus` the consensus step, `join` `cluster-join.ts`, `pendingProposals`
 * `consensus-driver.ts`.
 */
import type { Address } from '../../shared/common/address.js';
import {
  createConsensusState,
  currentMembership,
  defaultConsensusOptions,
  type ConsensusOptions,
  type ConsensusState,
} from '../../shared/consensus/consensus-state.js';
import { findMember, type Member, type NodeId } from '../../shared/consensus/membership.js';
import type { RecoveredState } from '../../shared/consensus/persisted-state.js';
import type { LogEntry } from '../../shared/consensus/log.js';
import { createLeaseAuthority, type LeaseAuthority } from '../dissemination/lease-authority.js';
import {
  createPublisher,
  publishChanges,
  skipToPosition,
  type LinkSendEffect,
  type PublisherState,
} from '../dissemination/publisher.js';
import { createTraffic, type Traffic } from '../dissemination/traffic.js';
import { applyCommand } from './apply-command.js';
import { emptyClusterState, type ClusterState } from './cluster-state.js';
import { decodeClusterState } from './cluster-snapshot.js';
import { decodeCommandEntry } from './command-codec.js';
import type { JoinState, PeerAddress } from './cluster-join.js';
import type { CommandOutcome } from './commands.js';
import type { BootstrapOperator } from './bootstrap-commands.js';
import { clusterProof } from './peer-messages.js';

/** Bounds the number of entries that a restart replays. */
const SNAPSHOT_INTERVAL_ENTRIES = 2_000;

/** Identifies an operator request within this process. */
export type RequestId = number;

/** A proposal whose log entry is not committed yet. */
interface PendingProposal {
  readonly term: number;
  /** Undefined for system commands. */
  readonly requestId: RequestId | undefined;
}

/** The state of a control machine. */
export interface ControlState {
  readonly cluster: ClusterState;
  readonly publisher: PublisherState;
  readonly leaseAuthority: LeaseAuthority;
  /** Counters of link messages, updated by the daemon. */
  readonly traffic: Traffic;
  readonly consensus: ConsensusState;
  readonly join: JoinState;
  /** Digest of the cluster key, see `clusterProof`. */
  readonly proof: string;
  /** Keyed by log index. */
  readonly pendingProposals: Map<number, PendingProposal>;
  /** Operators that the leader adds to a new cluster. */
  readonly firstOperators: readonly BootstrapOperator[];
  readonly snapshotIntervalEntries: number;
  /** Unix time in milliseconds of the last tick; undefined before the first. */
  wallTimeMs: number | undefined;
}

/** Options of `createControlState`. */
export interface ControlOptions {
  readonly nodeId: NodeId;
  readonly clusterKey: string;
  /** TCP address for links, reachable by peers. */
  readonly linkAddress: Address;
  /** HTTP address of the operator API, reachable by operators. */
  readonly operatorAddress: Address;
  /** The other machines of the initial membership; empty for a single-node cluster. */
  readonly peers: readonly PeerAddress[];
  /** Operators to add to a new cluster; ignored if the cluster already has operators. */
  readonly operators?: readonly BootstrapOperator[];
  readonly recovered: RecoveredState;
  readonly consensus?: Partial<ConsensusOptions>;
  /** Number of entries after which a snapshot is taken. Default 2,000. */
  readonly snapshotIntervalEntries?: number;
}

/**
 * @returns the initial state of a control machine, with the recovered snapshot and committed entries applied
 */
export function createControlState(options: ControlOptions): ControlState {
  const { nodeId, clusterKey, linkAddress, operatorAddress, peers, recovered } = options;
  const leaseAuthority = createLeaseAuthority();
  const consensus = createConsensusState(nodeId, recovered, {
    ...defaultConsensusOptions,
    ...options.consensus,
  });
  const state: ControlState = {
    leaseAuthority,
    traffic: createTraffic(),
    cluster: emptyClusterState(),
    publisher: createPublisher(clusterKey, { type: 'authority', authority: leaseAuthority }),
    consensus,
    join: {
      linkAddress,
      operatorAddress,
      peers,
      announced: new Map(),
      replyAddresses: new Map(),
      nextAnnounceAtMs: Number.NEGATIVE_INFINITY,
      refusal: undefined,
    },
    proof: clusterProof(clusterKey),
    pendingProposals: new Map(),
    firstOperators: options.operators ?? [],
    snapshotIntervalEntries: options.snapshotIntervalEntries ?? SNAPSHOT_INTERVAL_ENTRIES,
    wallTimeMs: undefined,
  };
  if (recovered.snapshot !== undefined) {
    restoreState(state, recovered.snapshot.data);
  }
  const firstIndex = (recovered.snapshot?.index ?? 0) + 1;
  for (const entry of consensus.log.slice(firstIndex, consensus.commitIndex)) {
    applyEntry(state, entry);
  }
  return state;
}

interface EntryResult {
  readonly outcome: CommandOutcome;
  readonly sends: readonly LinkSendEffect[];
}

/**
 * Applies a committed entry to the replicated state and publishes its changes.
 */
export function applyEntry(state: ControlState, entry: LogEntry): EntryResult {
  const { index, term, content } = entry;
  const position = { index, term };
  if (content.type === 'command') {
    const command = decodeCommandEntry(content.data);
    const { outcome, changes } = applyCommand(state.cluster, position, command);
    return { outcome, sends: publishChanges(state.publisher, position, changes) };
  }
  state.cluster.index = index;
  state.cluster.term = term;
  return {
    outcome: { accepted: true, index },
    sends: publishChanges(state.publisher, position, []),
  };
}

/**
 * Replaces the replicated state with the one in a snapshot.
 */
export function restoreState(state: ControlState, data: Uint8Array): void {
  Object.assign(state.cluster, decodeClusterState(data));
  skipToPosition(state.publisher, { term: state.cluster.term, index: state.cluster.index });
}

/**
 * @returns true if this machine considers itself the leader; a newer leader may already exist
 */
export function isLeader(state: ControlState): boolean {
  return state.consensus.role.name === 'leader';
}

/**
 * @returns the operator address of the leader; undefined if it is this machine or unknown
 */
export function leaderOperatorAddress(state: ControlState): Address | undefined {
  return remoteLeader(state)?.operatorAddress;
}

/**
 * @returns the link address of the leader; undefined if it is this machine or unknown
 */
export function leaderLinkAddress(state: ControlState): Address | undefined {
  return remoteLeader(state)?.linkAddress;
}

function remoteLeader(state: ControlState): Member | undefined {
  const { leaderId, nodeId } = state.consensus;
  return leaderId === undefined || leaderId === nodeId
    ? undefined
    : findMember(currentMembership(state.consensus), leaderId);
}
