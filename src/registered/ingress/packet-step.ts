/**
 * @file The decision for each packet of a client. State of a flow lives in its token, so a packet of an established flow
 * needs nothing that this balancer remembers; only opens are placed.
 */
import { decideEstablished } from './established-packet.js';
import type { IngressState } from './ingress-state.js';
import { decideOpen } from './open-step.js';
import type { PacketDecision } from './packet-decision.js';
import type { PacketView } from './packet-view.js';

/** Decides on a packet, and records what it shows. */
export function decidePacket(
  state: IngressState,
  packet: PacketView,
  nowMs: number,
): PacketDecision {
  return packet.isOpen ? decideOpen(state, packet, nowMs) : decideEstablished(state, packet, nowMs);
}
