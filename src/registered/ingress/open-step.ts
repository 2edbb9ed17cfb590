/**
 * @file Decides on an open: drops it while this balancer lacks state, forwards a copy to the back end of the first one, asks
 * the holders if another balancer may have placed it, and otherwise places or refuses it. The rules are in
 * `src/registered/decisions`.
 */
import { actionAfterRestart } from '../decisions/restarted-backend.js';
import { isLearning } from '../decisions/learning.js';
import { admitOpen } from '../decisions/open-admission.js';
import { refuseOpen } from '../decisions/open-refusal.js';
import { isReady, isFeedCurrent, type IngressState } from './ingress-state.js';
import type { KnownBackend } from './known-backend.js';
import type { FoundBy, PacketDecision } from './packet-decision.js';
import { flowKeyOf, type FlowKey, type PacketView } from './packet-view.js';

/** Decides on an open. */
export function decideOpen(state: IngressState, packet: PacketView, nowMs: number): PacketDecision {
  if (state.feedStatus.firstCurrentAtMs === undefined || state.routes.config === undefined) {
    return { type: 'drop', reason: 'not-ready' };
  }
  const key = flowKeyOf(packet);
  const rememberedToken = state.opens.recall(key, nowMs);
  if (rememberedToken !== undefined && !hasEnded(state, rememberedToken)) {
    state.activities.recordOpenCopy(key, nowMs);
    return forwardCopy(state, rememberedToken, { type: 'remembered' });
  }
  if (!state.routes.has(packet.destinationHost, packet.destinationPort)) {
    return isFeedCurrent(state, nowMs)
      ? { type: 'reset', reason: 'no-route' }
      : { type: 'drop', reason: 'not-current' };
  }
  switch (
    admitOpen(state.stallDetector.freshnessAt(nowMs), packet.copyNumber, canAskPeers(state))
  ) {
    case 'drop':
      return { type: 'drop', reason: 'stale-open' };
    case 'ask-peers':
      return { type: 'ask-peers', key };
    case 'place':
      return placeOpen(state, packet, nowMs);
  }
}

/** Places an open for which neither this balancer nor the queried holders remember an earlier copy. */
export function placeOpen(state: IngressState, packet: PacketView, nowMs: number): PacketDecision {
  const service = state.routes.nextService(packet.destinationHost, packet.destinationPort);
  if (service === undefined) {
    return { type: 'reset', reason: 'no-route' };
  }
  const active = state.backends.activeOf(service);
  const eligible = active.filter(({ zone }) => !state.zones.isEvacuated(zone));
  const backend = state.placement.choose(eligible, hashOf(packet), nowMs);
  return backend === undefined
    ? refuseOpen(active, eligible, isStillLearning(state, nowMs))
    : recordPlacement(state, packet, service, backend, nowMs);
}

/** Forwards an open to the back end with this token, at which another balancer placed an earlier copy. */
export function adoptPeerPlacement(
  state: IngressState,
  key: FlowKey,
  token: number,
  nowMs: number,
): PacketDecision {
  state.opens.remember(key, token, nowMs);
  return forwardCopy(state, token, { type: 'told-by-peer' });
}

function canAskPeers({ options, peers }: IngressState): boolean {
  return options.switches.opens === 'shared' && peers.size > 0;
}

function forwardCopy(state: IngressState, token: number, foundBy: FoundBy): PacketDecision {
  if (hasEnded(state, token)) {
    return { type: 'drop', reason: 'backend-restarted' };
  }
  const named = state.backends.resolve(token);
  const backend = named && (state.backends.successorOf(named) ?? named);
  return backend === undefined
    ? { type: 'drop', reason: 'unknown-token' }
    : { type: 'forward', backend, foundBy };
}

/** @returns true if the back end of the first copy has restarted without its state, so that the open is placed again */
function hasEnded({ backends }: IngressState, token: number): boolean {
  const backend = backends.resolve(token);
  if (backend === undefined) {
    return false;
  }
  const successor = backends.successorOf(backend);
  return successor !== undefined && actionAfterRestart(backend, successor) === 'end';
}

function isStillLearning(state: IngressState, nowMs: number): boolean {
  const { switches, heartbeatIntervalMs } = state.options;
  return (
    switches.learning === 'dropped' &&
    isLearning(isReady(state), state.feedStatus, heartbeatIntervalMs, nowMs)
  );
}

/** Records a placement. The load in the result excludes the new flow. */
function recordPlacement(
  state: IngressState,
  packet: PacketView,
  service: string,
  backend: KnownBackend,
  nowMs: number,
): PacketDecision {
  state.slowStart.recordPlacement(backend, nowMs);
  const load = state.placement.loadOf(backend, nowMs);
  const key = flowKeyOf(packet);
  state.opens.remember(key, backend.token, nowMs);
  state.activities.recordOpen(key, backend, nowMs);
  return { type: 'forward', backend, foundBy: { type: 'chosen', key, service, load } };
}

const HASH_MULTIPLIER = 0x9e3779b1;

/** @returns a 32-bit hash that spreads the flows of one client over back ends */
function hashOf(packet: PacketView): number {
  const mixed = Math.imul(
    packet.sourceHost ^ (packet.sourcePort * HASH_MULTIPLIER),
    HASH_MULTIPLIER,
  );
  return (mixed ^ (mixed >>> 15)) >>> 0;
}
