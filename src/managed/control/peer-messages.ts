/**
 * @file Messages between control machines: consensus messages, announcements and refusals, in an envelope that names
 * the cluster, the sender and the receiver.
 */
import { createHash } from 'node:crypto';
import type { Address } from '../../shared/common/address.js';
import type { ConsensusMessage, Sender } from '../../shared/consensus/messages.js';
import type { NodeId } from '../../shared/consensus/membership.js';

/** Announces a machine that is not a member of a cluster, or answers such an announcement. */
export interface Announcement {
  readonly type: 'announcement';
  readonly operatorAddress: Address;
  /** False if this is itself an answer. */
  readonly wantsAnswer: boolean;
}

/** Sent in reply to a message that was refused. */
export interface PeerRefusal {
  readonly type: 'peer-refusal';
  readonly kind: 'wrong-cluster';
  readonly reason: string;
}

/** The content of an envelope. */
export type PeerMessage = ConsensusMessage | Announcement | PeerRefusal;

/** A message between control machines. */
export interface PeerEnvelope {
  readonly type: 'peer';
  /** Digest of the sender's cluster key, see `clusterProof`. */
  readonly proof: string;
  /** Absent if the sender belongs to no cluster. */
  readonly clusterId?: string | undefined;
  readonly from: Sender;
  /** TCP address for links to the sender. */
  readonly replyTo: Address;
  readonly to: {
    readonly nodeId: NodeId;
    /** Storage ID that the receiver must have; absent in responses and if it is unknown. */
    readonly storageId?: string | undefined;
  };
  readonly message: PeerMessage;
}

/** 64 bits of the hash. */
const PROOF_HEX_DIGITS = 16;

/**
 * @returns a digest of the cluster key, to detect peers with a different key
 */
export function clusterProof(clusterKey: string): string {
  return createHash('sha256').update(`peer:${clusterKey}`).digest('hex').slice(0, PROOF_HEX_DIGITS);
}
