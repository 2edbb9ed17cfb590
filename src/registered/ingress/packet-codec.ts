/**
 * @file What a balancer needs of a packet format. The codec is the one place that knows the bytes.
 */
import type { Address } from '../../shared/common/address.js';
import type { PacketView } from './packet-view.js';

/** Reads and writes packets of one format. */
export interface PacketCodec {
  /** @returns the view of a packet, or undefined where the datagram is none; never throws */
  read(datagram: Uint8Array): PacketView | undefined;
  /**
   * @param datagram one that `read` took
   * @returns the datagram for a back end: what names it, then the packet with its token
   */
  toBackend(datagram: Uint8Array, instanceBytes: Uint8Array, token: number): Uint8Array;
  /** @returns a reset of the flow that a client's packet belongs to */
  resetFor(packet: PacketView): Uint8Array;
  /**
   * Serves logs only; nothing is decided by it.
   * @param datagram one that `read` took
   * @returns the ID of the request that begins in a packet, or undefined where none does
   */
  requestIdOf(datagram: Uint8Array): string | undefined;
  /** @returns the address at which the client of a packet gets packets */
  clientAddress(packet: PacketView): Address;
}
