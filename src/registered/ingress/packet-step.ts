/**
 * @file Entry point for client packets. Packets of established flows are routed by their token, without per-flow state;
 * only opens are placed.
 */
import { decideEstablished } from './established-packet.js';
import type { IngressState } from './ingress-state.js';
import { decideOpen } from './open-step.js';
import type { PacketDecision } from './packet-decision.js';
import type { PacketView } from './packet-view.js';

/** Decides on a client packet and updates the state from it. */
export function decidePacket(
  state: IngressState,
  packet: PacketView,
  nowMs: number,
): PacketDecision {
  return packet.isOpen ? decideOpen(state, packet, nowMs) : decideEstablished(state, packet, nowMs);
}
