/**
 * @file A packet of an established flow: it goes to the back end that its token names, whatever else is known. Where
 * that back end is proven dead the client is reset, and where it has started again the packet is handled as
 * restarted-backend.ts decides.
 */
import { actionAfterRestart } from '../decisions/restarted-backend.js';
import { isProvenDead, type UnacknowledgedData } from '../decisions/dead-flow.js';
import { knowsCurrent, type IngressState } from './ingress-state.js';
import type { KnownBackend } from './known-backend.js';
import type { PacketDecision } from './packet-decision.js';
import { flowKeyOf, type PacketView } from './packet-view.js';

/** Decides on a packet that is no open, and records what it shows of its back end. */
export function decideEstablished(
  state: IngressState,
  packet: PacketView,
  nowMs: number,
): PacketDecision {
  if (packet.token === 0) {
    return { type: 'drop', reason: 'no-token' };
  }
  const backend = state.backends.resolve(packet.token);
  if (backend === undefined) {
    return { type: 'drop', reason: 'unknown-token' };
  }
  const successor = state.backends.successorOf(backend);
  return successor === undefined
    ? decideForStart(state, packet, backend, nowMs)
    : decideForRestarted(state, packet, backend, successor, nowMs);
}

function decideForRestarted(
  state: IngressState,
  packet: PacketView,
  backend: KnownBackend,
  successor: KnownBackend,
  nowMs: number,
): PacketDecision {
  switch (actionAfterRestart(backend, successor)) {
    case 'follow':
      return decideForStart(state, packet, successor, nowMs);
    case 'end':
      return packet.isReset
        ? { type: 'drop', reason: 'backend-restarted' }
        : { type: 'reset', reason: 'backend-restarted' };
  }
}

function decideForStart(
  state: IngressState,
  packet: PacketView,
  backend: KnownBackend,
  nowMs: number,
): PacketDecision {
  const unacknowledged = state.activities.recordPacket(flowKeyOf(packet), backend, packet, nowMs);
  return unacknowledged !== undefined && isDead(state, backend, unacknowledged, nowMs)
    ? { type: 'reset', reason: 'backend-dead' }
    : { type: 'forward', backend };
}

function isDead(
  state: IngressState,
  backend: KnownBackend,
  unacknowledged: UnacknowledgedData,
  nowMs: number,
): boolean {
  // Nearly all are alive: the evidence is gathered for the others only.
  if (backend.registration.liveness === 'alive') {
    return false;
  }
  const evidence = {
    isFeedCurrent: knowsCurrent(state, nowMs),
    isReplaced: state.backends.isReplaced(backend),
    unacknowledged,
  };
  return isProvenDead(backend, evidence, state.options.switches);
}
