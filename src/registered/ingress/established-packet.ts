/**
 * @file Handles a packet of an established flow: forwards it to the back end that its token identifies. If that back end
 * is proven dead, the client is reset; if it has restarted, see restarted-backend.ts.
 */
import { actionAfterRestart } from '../decisions/restarted-backend.js';
import { isProvenDead, type UnacknowledgedData } from '../decisions/dead-flow.js';
import { isProvenDeadByFleet } from '../decisions/shared-evidence.js';
import { isFeedCurrent, type IngressState } from './ingress-state.js';
import type { KnownBackend } from './known-backend.js';
import type { PacketDecision } from './packet-decision.js';
import { flowKeyOf, type PacketView } from './packet-view.js';

/** Decides on a packet that is not an open, and records it in the flow activities. */
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
    ? decideForBackend(state, packet, backend, nowMs)
    : decideAfterRestart(state, packet, backend, successor, nowMs);
}

function decideAfterRestart(
  state: IngressState,
  packet: PacketView,
  backend: KnownBackend,
  successor: KnownBackend,
  nowMs: number,
): PacketDecision {
  switch (actionAfterRestart(backend, successor)) {
    case 'follow':
      return decideForBackend(state, packet, successor, nowMs);
    case 'end':
      return packet.isReset
        ? { type: 'drop', reason: 'backend-restarted' }
        : { type: 'reset', reason: 'backend-restarted' };
  }
}

function decideForBackend(
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
  if (
    state.options.switches.deadFlows === 'reset' &&
    isProvenDeadByFleet(backend, unacknowledged, isFeedCurrent(state, nowMs), nowMs)
  ) {
    return true;
  }
  // Fast path: skips gathering evidence for live back ends.
  if (backend.registration.liveness === 'alive') {
    return false;
  }
  const evidence = {
    isFeedCurrent: isFeedCurrent(state, nowMs),
    isReplaced: state.backends.isReplaced(backend),
    unacknowledged,
  };
  return isProvenDead(backend, evidence, state.options.switches);
}
