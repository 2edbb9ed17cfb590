/**
 * @file Interface between balancers and a packet format. Only the codec depends on the encoding.
 */
import type { Address } from '../../shared/common/address.js';
import type { PacketView } from './packet-view.js';

/** Reads and writes packets of one format. */
export interface PacketCodec {
  /** @returns the view of a packet, or undefined if the datagram is malformed; never throws */
  read(datagram: Uint8Array): PacketView | undefined;
  /**
   * @param datagram one that `read` accepted
   * @returns the datagram for a back end: its instance number, then the packet with its token
   */
  toBackend(datagram: Uint8Array, instanceBytes: Uint8Array, token: number): Uint8Array;
  /** @returns a reset for the flow of a client's packet */
  resetFor(packet: PacketView): Uint8Array;
  /**
   * Used in logs only.
   * @param datagram one that `read` accepted
   * @returns the ID of the request that begins in the packet; undefined if none does
   */
  requestIdOf(datagram: Uint8Array): string | undefined;
  /** @returns the address to which packets for the client are sent */
  clientAddress(packet: PacketView): Address;
}
