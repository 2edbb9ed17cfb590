/**
 * @file A client packet for tests, which override the fields that matter to them.
 */
import type { PacketView } from '../../../src/registered/ingress/packet-view.js';

/** A packet of an established flow, without data. */
export const PLAIN_PACKET: PacketView = {
  sourceHost: 1,
  sourcePort: 1_000,
  destinationHost: 0xc6120001,
  destinationPort: 443,
  isOpen: false,
  isFinish: false,
  isReset: false,
  copyNumber: 0,
  token: 1,
  sequence: 100,
  acknowledged: 500,
  dataLength: 0,
};
