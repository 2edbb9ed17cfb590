/**
 * @file The state of a control machine: its part in the consensus, the replicated state, and the requests that wait.
 * Each part is changed by one module: `cluster` by `apply-command.ts`, `publisher` by `dissemination/publisher.ts`,
 * `leaseAuthority` by `dissemination/lease-authority.ts`, `consensus` by the consensus step, `join` by
 * `cluster-join.ts`, `pendingProposals` by `consensus-driver.ts`.
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

/**
 * Entries after which a snapshot is made. A snapshot of 9,000 back ends is 2.99 MB and a change 253 bytes of the log
 * (docs/design/consensus.md); the interval itself is not measured. Too long if a restart replays for long.
 */
const SNAPSHOT_INTERVAL_ENTRIES = 2_000;

/** Names a request of an operator while this process runs. */
export type RequestId = number;

/** What a proposal in the log waits for. */
interface PendingProposal {
  readonly term: number;
  /** Undefined for the leader's own commands. */
  readonly requestId: RequestId | undefined;
}

/** The state of a control machine. */
export interface ControlState {
  readonly cluster: ClusterState;
  readonly publisher: PublisherState;
  readonly leaseAuthority: LeaseAuthority;
  /** Messages over links; counted by the daemon where it sends and receives them. */
  readonly traffic: Traffic;
  readonly consensus: ConsensusState;
  readonly join: JoinState;
  readonly proof: string;
  /** By index of the log entry. */
  readonly pendingProposals: Map<number, PendingProposal>;
  /** The operators of a new cluster. */
  readonly firstOperators: readonly BootstrapOperator[];
  readonly snapshotIntervalEntries: number;
  /** Unix time in milliseconds of the last tick; undefined before the first. */
  wallTimeMs: number | undefined;
}

/** Options of a control machine. */
export interface ControlOptions {
  readonly nodeId: NodeId;
  readonly clusterKey: string;
  /** TCP address of its links, as peers reach it. */
  readonly linkAddress: Address;
  /** HTTP address of its operator interface, as operators reach it. */
  readonly operatorAddress: Address;
  /** The other machines of the cluster's first membership; empty for a machine that stands alone. */
  readonly peers: readonly PeerAddress[];
  /** The operators of a new cluster; without effect in one that has operators. */
  readonly operators?: readonly BootstrapOperator[];
  readonly recovered: RecoveredState;
  readonly consensus?: Partial<ConsensusOptions>;
  /** Entries after which a snapshot is made. Default 2,000. */
  readonly snapshotIntervalEntries?: number;
}

/**
 * @returns the state of a control machine that starts, with all that is known to be committed applied
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

/** The result of applying an entry. */
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
 * Replaces the replicated state by a snapshot's.
 */
export function restoreState(state: ControlState, data: Uint8Array): void {
  Object.assign(state.cluster, decodeClusterState(data));
  skipToPosition(state.publisher, { term: state.cluster.term, index: state.cluster.index });
}

/**
 * @returns true while this machine believes that it leads
 */
export function isLeader(state: ControlState): boolean {
  return state.consensus.role.name === 'leader';
}

/**
 * @returns the operator address of the leader, where another machine leads and is known
 */
export function leaderOperatorAddress(state: ControlState): Address | undefined {
  return otherLeader(state)?.operatorAddress;
}

/**
 * @returns the link address of the leader, where another machine leads and is known
 */
export function leaderLinkAddress(state: ControlState): Address | undefined {
  return otherLeader(state)?.linkAddress;
}

function otherLeader(state: ControlState): Member | undefined {
  const { leaderId, nodeId } = state.consensus;
  return leaderId === undefined || leaderId === nodeId
    ? undefined
    : findMember(currentMembership(state.consensus), leaderId);
}
