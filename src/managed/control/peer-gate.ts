/**
 * @file Is a consensus message of another control machine accepted? Only with the same cluster key, of the same cluster, and
 * for this machine with its present disk; a machine without a cluster joins the sender's where the message names its disk.
 * Another key, cluster or disk is refused with the reason `wrong-cluster`, which the refused machine logs as
 * `A peer refuses this machine`. Also builds the envelopes that this machine sends.
 */
import type { Address } from '../../shared/common/address.js';
import { findMember, type NodeId } from '../../shared/consensus/membership.js';
import { currentMembership } from '../../shared/consensus/consensus-state.js';
import type { ControlEffect } from './control-events.js';
import type { ControlState } from './control-state.js';
import type { PeerEnvelope, PeerMessage, PeerRefusal } from './peer-messages.js';

/** The decision on a message. */
type GateDecision = 'accept' | 'join-cluster' | 'ignore' | PeerRefusal;

/**
 * Decides on a message of the consensus protocol.
 */
export function decideAtGate(state: ControlState, envelope: PeerEnvelope): GateDecision {
  const { consensus, proof } = state;
  const { clusterId, to } = envelope;
  if (envelope.proof !== proof) {
    return refusal('The cluster key is another one.');
  }
  if (clusterId === undefined || to.nodeId !== consensus.nodeId) {
    return 'ignore';
  }
  if (to.storageId !== undefined && to.storageId !== consensus.storageId) {
    return refusal(`${to.nodeId} has another disk than the one meant; it must be added anew.`);
  }
  if (consensus.clusterId === undefined) {
    return to.storageId === undefined ? 'ignore' : 'join-cluster';
  }
  return clusterId === consensus.clusterId
    ? 'accept'
    : refusal(`${to.nodeId} belongs to another cluster.`);
}

function refusal(reason: string): PeerRefusal {
  return { type: 'peer-refusal', kind: 'wrong-cluster', reason };
}

/** Requests name the disk that they are meant for; replies don't. */
const ADDRESSED_TO_DISK: readonly PeerMessage['type'][] = [
  'pre-vote-request',
  'vote-request',
  'append-request',
  'snapshot-chunk',
  'timeout-now',
];

/**
 * @returns the effect that sends a message of the consensus protocol; none where the receiver's
 *   address is not known
 */
export function sendToPeer(
  state: ControlState,
  nodeId: NodeId,
  message: PeerMessage,
): ControlEffect[] {
  const { consensus, join } = state;
  const member = findMember(currentMembership(consensus), nodeId);
  const configured = join.peers.find((peer) => peer.nodeId === nodeId)?.linkAddress;
  const address = member?.linkAddress ?? join.replyAddresses.get(nodeId) ?? configured;
  const storageId = ADDRESSED_TO_DISK.includes(message.type) ? member?.storageId : undefined;
  return address === undefined ? [] : [peerSend(state, address, { nodeId, storageId }, message)];
}

/**
 * @returns the effect that sends a message to an address
 */
export function peerSend(
  state: ControlState,
  address: Address,
  to: PeerEnvelope['to'],
  message: PeerMessage,
): ControlEffect {
  const { consensus, join, proof } = state;
  const envelope: PeerEnvelope = {
    type: 'peer',
    proof,
    ...(consensus.clusterId !== undefined && { clusterId: consensus.clusterId }),
    from: { nodeId: consensus.nodeId, storageId: consensus.storageId },
    replyTo: join.linkAddress,
    to,
    message,
  };
  return { type: 'peer-send', address, envelope };
}
