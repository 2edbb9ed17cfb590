/**
 * @file Joins a control machine with an empty disk to a cluster. It announces itself to its configured peers; members
 * of a cluster list it for an administrator to add. If no machine has a cluster, the lowest node ID bootstraps one.
 *
 * Owns `JoinState`. Times are in milliseconds on this machine's clock. `GET /v1/members` returns `AnnouncedMachine` as
 * JSON, so its field names are part of the HTTP API.
 */
import type { Address } from '../../shared/common/address.js';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import { currentMembership, type ConsensusState } from '../../shared/consensus/consensus-state.js';
import {
  findMember,
  sortedMembership,
  type Member,
  type NodeId,
} from '../../shared/consensus/membership.js';
import type { PeerEnvelope, Announcement } from './peer-messages.js';

const ANNOUNCE_INTERVAL_MS = 300;
/** Longer than several announcement intervals, so that a lost message does not remove a machine from the list. */
const ANNOUNCEMENT_LIFETIME_MS = 5_000;

/** A configured peer. */
export interface PeerAddress {
  readonly nodeId: NodeId;
  readonly linkAddress: Address;
}

/** The latest announcement of a machine. */
export interface AnnouncedMachine {
  readonly nodeId: NodeId;
  readonly storageId: string;
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  readonly clusterId: string | undefined;
  /** Time of its last answer to this machine's announcement; undefined if none came since its storage ID changed. */
  readonly answeredUsAtMs: number | undefined;
  /** Time at which its last announcement was received. */
  readonly heardAtMs: number;
}

/** State of a machine that announces itself, and the announcements of other machines. */
export interface JoinState {
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  /** The other machines of the initial membership. */
  readonly peers: readonly PeerAddress[];
  readonly announced: Map<NodeId, AnnouncedMachine>;
  /** Link addresses of consensus message senders, used if the membership has no address for them. */
  readonly replyAddresses: Map<NodeId, Address>;
  nextAnnounceAtMs: number;
  /** Reason of the last refusal by a peer, for logs and the status. */
  refusal: string | undefined;
}

/**
 * Records an announcement, and whether it answers one of this machine.
 */
export function applyAnnouncement(
  join: JoinState,
  consensus: ConsensusState,
  envelope: PeerEnvelope,
  announcement: Announcement,
  nowMs: number,
): void {
  const { from, to, clusterId } = envelope;
  const previous = join.announced.get(from.nodeId);
  const previousAnswerAtMs =
    previous?.storageId === from.storageId ? previous.answeredUsAtMs : undefined;
  const isAnswerToUs = to.storageId === consensus.storageId;
  join.announced.set(from.nodeId, {
    ...from,
    linkAddress: envelope.replyTo,
    operatorAddress: announcement.operatorAddress,
    clusterId,
    answeredUsAtMs: isAnswerToUs ? nowMs : previousAnswerAtMs,
    heardAtMs: nowMs,
  });
}

/**
 * Schedules the next announcement if one is due. A machine announces itself until the membership contains its disk.
 * @returns true if an announcement is due now
 */
export function isAnnouncementDue(
  join: JoinState,
  consensus: ConsensusState,
  nowMs: number,
): boolean {
  const self = findMember(currentMembership(consensus), consensus.nodeId);
  const isMember = self?.storageId === consensus.storageId;
  if (isMember || join.peers.length === 0 || nowMs < join.nextAnnounceAtMs) {
    return false;
  }
  join.nextAnnounceAtMs = nowMs + ANNOUNCE_INTERVAL_MS;
  return true;
}

/**
 * @returns the event that bootstraps a cluster, or undefined unless this machine has no cluster and the lowest node ID,
 *   and every peer recently answered that it has no cluster
 */
export function bootstrapEvent(
  join: JoinState,
  consensus: ConsensusState,
  nowMs: number,
): ConsensusEvent | undefined {
  const { nodeId, storageId, clusterId } = consensus;
  const isFirst = join.peers.every((peer) => nodeId < peer.nodeId);
  if (clusterId !== undefined || !isFirst) {
    return undefined;
  }
  const peers = join.peers.map((peer) => peerWithoutCluster(join, peer.nodeId, nowMs));
  const { linkAddress, operatorAddress } = join;
  const members = [{ nodeId, storageId, linkAddress, operatorAddress }, ...peers];
  if (!members.every((member) => member !== undefined)) {
    return undefined;
  }
  const voters = members.map((member): Member => ({ ...member, role: 'voter' }));
  return { type: 'bootstrap', clusterId: storageId, membership: sortedMembership(voters) };
}

/** Requires a recent answer to this machine's announcement: other announcements may be outdated. */
function peerWithoutCluster(
  join: JoinState,
  nodeId: NodeId,
  nowMs: number,
): Omit<Member, 'role'> | undefined {
  const machine = join.announced.get(nodeId);
  const answeredAtMs = machine?.answeredUsAtMs;
  if (machine === undefined || answeredAtMs === undefined || machine.clusterId !== undefined) {
    return undefined;
  }
  if (nowMs - answeredAtMs > ANNOUNCEMENT_LIFETIME_MS) {
    return undefined;
  }
  const { storageId, linkAddress, operatorAddress } = machine;
  return { nodeId, storageId, linkAddress, operatorAddress };
}

/**
 * @returns machines that recently announced themselves, have no cluster and are not members, for operators to add
 */
export function joinCandidates(
  join: JoinState,
  consensus: ConsensusState,
  nowMs: number,
): AnnouncedMachine[] {
  const membership = currentMembership(consensus);
  return [...join.announced.values()].filter(
    (machine) =>
      machine.clusterId === undefined &&
      findMember(membership, machine.nodeId)?.storageId !== machine.storageId &&
      nowMs - machine.heardAtMs <= ANNOUNCEMENT_LIFETIME_MS,
  );
}
