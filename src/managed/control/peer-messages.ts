/**
 * @file What control machines send each other: consensus messages and announcements, in an envelope
 * that names cluster, sender and receiver.
 */
import { createHash } from 'node:crypto';
import type { Address } from '../../shared/common/address.js';
import type { ConsensusMessage, Sender } from '../../shared/consensus/messages.js';
import type { NodeId } from '../../shared/consensus/membership.js';

/** Announces a machine that may have no cluster yet. */
export interface Announcement {
  readonly type: 'announcement';
  readonly operatorAddress: Address;
  /** False in the answer to an announcement. */
  readonly wantsAnswer: boolean;
}

/** Why the sender refuses messages of the receiver. */
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
  /** Shows that the sender has the cluster key, see `clusterProof`. */
  readonly proof: string;
  /** Absent while the sender belongs to no cluster. */
  readonly clusterId?: string | undefined;
  readonly from: Sender;
  /** TCP address of the sender's links. */
  readonly replyTo: Address;
  readonly to: {
    readonly nodeId: NodeId;
    /** The disk that is meant; absent where it is not known. */
    readonly storageId?: string | undefined;
  };
  readonly message: PeerMessage;
}

/** Hexadecimal digits of the proof: 64 bits of the hash. */
const PROOF_LENGTH = 16;

/**
 * @returns a digest of the cluster key, by which a peer with another key is detected
 */
export function clusterProof(clusterKey: string): string {
  return createHash('sha256').update(`peer:${clusterKey}`).digest('hex').slice(0, PROOF_LENGTH);
}
