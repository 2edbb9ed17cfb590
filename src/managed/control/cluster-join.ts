/**
 * @file How does a control machine with an empty disk come to a cluster? It announces itself to the peers of its settings. A
 * machine that belongs to a cluster shows it to the administrators, who may add it. Where all peers answer that they have no
 * cluster either, the first of them by node ID begins one with all of them.
 *
 * Owns `JoinState`. Times are in milliseconds on this machine's clock. `AnnouncedMachine` is also shown as JSON by
 * `GET /v1/members`, so its field names are part of that interface.
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

/**
 * Time between two announcements, in milliseconds. A machine with an empty disk joined in 0.63 s
 * (docs/design/consensus.md).
 */
const ANNOUNCE_INTERVAL_MS = 300;
/**
 * How long an announcement counts, in milliseconds. Not measured; too short if a waiting machine comes and goes in
 * the list.
 */
const ANNOUNCEMENT_LIFETIME_MS = 5_000;

/** A peer of the settings. */
export interface PeerAddress {
  readonly nodeId: NodeId;
  readonly linkAddress: Address;
}

/** A machine that announced itself. */
export interface AnnouncedMachine {
  readonly nodeId: NodeId;
  readonly storageId: string;
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  readonly clusterId: string | undefined;
  /** When it last answered an announcement of this machine with its present disk; undefined where it never did. */
  readonly answeredUsAtMs: number | undefined;
  /** When its last announcement came. */
  readonly heardAtMs: number;
}

/** What a machine knows of itself and of machines outside the membership. */
export interface JoinState {
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  /** The other machines of the first membership. */
  readonly peers: readonly PeerAddress[];
  readonly announced: Map<NodeId, AnnouncedMachine>;
  /** Link addresses for answers to machines outside the membership. */
  readonly replyAddresses: Map<NodeId, Address>;
  nextAnnounceAtMs: number;
  /** Why a peer refused this machine, for logs and `show`. */
  refusal: string | undefined;
}

/**
 * Records an announcement.
 */
export function applyAnnouncement(
  join: JoinState,
  consensus: ConsensusState,
  envelope: PeerEnvelope,
  announcement: Announcement,
  nowMs: number,
): void {
  const { from, to, clusterId } = envelope;
  const known = join.announced.get(from.nodeId);
  const earlier = known?.storageId === from.storageId ? known.answeredUsAtMs : undefined;
  const answersUs = to.storageId === consensus.storageId;
  join.announced.set(from.nodeId, {
    ...from,
    linkAddress: envelope.replyTo,
    operatorAddress: announcement.operatorAddress,
    clusterId,
    answeredUsAtMs: answersUs ? nowMs : earlier,
    heardAtMs: nowMs,
  });
}

/**
 * @returns true where it is time to announce: a machine that no membership names goes on announcing
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
 * @returns the event that begins a cluster, where this machine is the one to do so
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
  const peers = join.peers.map((peer) => blankPeer(join, peer.nodeId, nowMs));
  const { linkAddress, operatorAddress } = join;
  const members = [{ nodeId, storageId, linkAddress, operatorAddress }, ...peers];
  if (!members.every((member) => member !== undefined)) {
    return undefined;
  }
  const voters = members.map((member): Member => ({ ...member, role: 'voter' }));
  return { type: 'bootstrap', clusterId: storageId, membership: sortedMembership(voters) };
}

/** Only an answer to this machine's own announcement proves that the peer has no cluster now. */
function blankPeer(
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
 * @returns machines that announced themselves within the last seconds and belong to no cluster, for operators to add
 */
export function machinesToAdd(
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
