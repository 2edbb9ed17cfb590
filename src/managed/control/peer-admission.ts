/**
 * @file Decides whether to accept consensus messages from other control machines, and builds the envelopes of outgoing
 * messages. A message with a different cluster key, cluster ID or receiver storage ID is refused as `wrong-cluster`. A
 * machine without a cluster joins the sender's cluster if the message names its storage ID.
 */
import type { Address } from '../../shared/common/address.js';
import { findMember, type NodeId } from '../../shared/consensus/membership.js';
import { currentMembership } from '../../shared/consensus/consensus-state.js';
import type { ControlEffect } from './control-events.js';
import type { ControlState } from './control-state.js';
import type { PeerEnvelope, PeerMessage, PeerRefusal } from './peer-messages.js';

type AdmissionDecision = 'accept' | 'join-cluster' | 'ignore' | PeerRefusal;

/**
 * Decides whether a message is processed, ignored or answered with a refusal.
 */
export function checkAdmission(state: ControlState, envelope: PeerEnvelope): AdmissionDecision {
  const { consensus, proof } = state;
  const { clusterId, to } = envelope;
  if (envelope.proof !== proof) {
    return refusal('The cluster key does not match.');
  }
  if (clusterId === undefined || to.nodeId !== consensus.nodeId) {
    return 'ignore';
  }
  if (to.storageId !== undefined && to.storageId !== consensus.storageId) {
    return refusal(
      `${to.nodeId} has a different disk from the one addressed; it must be added again.`,
    );
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

/** Requests name the storage ID of the receiver; responses do not. */
const TYPES_WITH_STORAGE_ID: readonly PeerMessage['type'][] = [
  'pre-vote-request',
  'vote-request',
  'append-request',
  'snapshot-chunk',
  'timeout-now',
];

/**
 * @returns the effect that sends a consensus message to a peer; none if the peer's address is unknown
 */
export function sendToPeer(
  state: ControlState,
  nodeId: NodeId,
  message: PeerMessage,
): ControlEffect[] {
  const { consensus, join } = state;
  const member = findMember(currentMembership(consensus), nodeId);
  const configuredAddress = join.peers.find((peer) => peer.nodeId === nodeId)?.linkAddress;
  const address = member?.linkAddress ?? join.replyAddresses.get(nodeId) ?? configuredAddress;
  const storageId = TYPES_WITH_STORAGE_ID.includes(message.type) ? member?.storageId : undefined;
  return address === undefined
    ? []
    : [sendToAddress(state, address, { nodeId, storageId }, message)];
}

/**
 * @returns the effect that sends a message to an address
 */
export function sendToAddress(
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
