/**
 * @file The decision for each packet of a client: a packet with a token goes to the back end that the
 * token names; an open goes where its first copy went, or to a back end of the route's service.
 */
import type { KnownBackend } from './known-backend.js';
import { isProvenDead } from '../decisions/dead-flow.js';
import { isReady, knowsCurrent, type IngressState } from './ingress-state.js';
import { flowKeyOf, type FlowKey, type PacketView } from './packet-view.js';

/** Why a packet was dropped or its open refused. */
export type DropReason =
  | 'unknown-token'
  | 'no-token'
  | 'not-ready'
  | 'not-current'
  | 'no-route'
  | 'no-backend'
  /** The back end of an established flow can't answer any more. */
  | 'backend-dead'
  /** All zones in which the service has back ends are evacuated. */
  | 'zones-evacuated'
  /** All back ends that it could go to are cold and have been given what they bear. */
  | 'all-cold'
  /** An open that waited while this process stood still. */
  | 'stale-open'
  /** An open whose other copy another balancer is placing at this moment. */
  | 'claimed-elsewhere';

/** How the back end of an open was found. */
export type FoundBy =
  /** Chosen by load. */
  | {
      readonly type: 'chosen';
      readonly key: FlowKey;
      readonly service: string;
      readonly load: number;
    }
  /** A copy of an open that this balancer placed. */
  | { readonly type: 'remembered' }
  /** A copy of an open that another balancer placed. */
  | { readonly type: 'told-by-peer' };

/** What becomes of a packet. */
export type PacketDecision =
  | {
      readonly type: 'forward';
      readonly backend: KnownBackend;
      /** How the back end of an open was found; undefined for packets with a token. */
      readonly foundBy?: FoundBy;
    }
  /** Tell the client that the flow was not opened. */
  | { readonly type: 'reset'; readonly reason: DropReason }
  | { readonly type: 'drop'; readonly reason: DropReason }
  /** A copy whose first went through another balancer: ask the others, then call `placeOpen`. */
  | { readonly type: 'ask-peers'; readonly key: FlowKey };

/** A service whose back ends may not all be known yet is not refused for so many heartbeat intervals. */
const LEARNING_INTERVALS = 2;

/**
 * Decides on a packet.
 */
export function decidePacket(
  state: IngressState,
  packet: PacketView,
  nowMs: number,
): PacketDecision {
  if (packet.isOpen) {
    return decideOpen(state, packet, nowMs);
  }
  if (packet.token === 0) {
    return { type: 'drop', reason: 'no-token' };
  }
  const backend = state.backends.resolve(packet.token);
  if (backend === undefined) {
    return { type: 'drop', reason: 'unknown-token' };
  }
  const key = flowKeyOf(packet);
  const unanswered = state.activities.recordPacket(key, backend, packet, nowMs);
  if (unanswered !== undefined && backend.registration.liveness !== 'alive') {
    const evidence = {
      isFeedCurrent: knowsCurrent(state, nowMs),
      isReplaced: state.backends.isReplaced(backend),
      unanswered,
    };
    if (isProvenDead(backend, evidence, state.options.switches)) {
      return { type: 'reset', reason: 'backend-dead' };
    }
  }
  return { type: 'forward', backend };
}

function decideOpen(state: IngressState, packet: PacketView, nowMs: number): PacketDecision {
  if (state.feedStatus.firstCurrentAtMs === undefined || state.routes.config === undefined) {
    return { type: 'drop', reason: 'not-ready' };
  }
  const key = flowKeyOf(packet);
  const placed = state.opens.recall(key, nowMs);
  if (placed !== undefined) {
    state.activities.recordOpenCopy(key, nowMs);
    return forwardCopy(state, placed, { type: 'remembered' });
  }
  if (!state.routes.has(packet.destinationHost, packet.destinationPort)) {
    return knowsCurrent(state, nowMs)
      ? { type: 'reset', reason: 'no-route' }
      : { type: 'drop', reason: 'not-current' };
  }
  switch (state.stallGuard.trustAt(nowMs)) {
    case 'stale':
      return { type: 'drop', reason: 'stale-open' };
    case 'doubtful':
      return askOrPlace(state, packet, key, nowMs);
    case 'fresh':
      return packet.copyNumber > 0
        ? askOrPlace(state, packet, key, nowMs)
        : placeOpen(state, packet, nowMs);
  }
}

/** Another balancer may have placed it: ask, where there is one. */
function askOrPlace(
  state: IngressState,
  packet: PacketView,
  key: FlowKey,
  nowMs: number,
): PacketDecision {
  const canAsk = state.options.switches.opens === 'shared' && state.peers.size > 0;
  return canAsk ? { type: 'ask-peers', key } : placeOpen(state, packet, nowMs);
}

function forwardCopy(state: IngressState, token: number, foundBy: FoundBy): PacketDecision {
  const backend = state.backends.resolve(token);
  return backend === undefined
    ? { type: 'drop', reason: 'unknown-token' }
    : { type: 'forward', backend, foundBy };
}

/**
 * Places an open for which no earlier copy is known.
 */
export function placeOpen(state: IngressState, packet: PacketView, nowMs: number): PacketDecision {
  const service = state.routes.nextService(packet.destinationHost, packet.destinationPort);
  if (service === undefined) {
    return { type: 'reset', reason: 'no-route' };
  }
  const { placement, slowStart } = state;
  const staying = state.backends.activeOf(service);
  const open = staying.filter(({ zone }) => !state.zones.isEvacuated(zone));
  const backend = placement.choose(open, hashOf(packet), nowMs);
  if (backend === undefined) {
    return refuseOpen(state, staying, open, nowMs);
  }
  slowStart.recordPlacement(backend, nowMs);
  const load = placement.loadOf(backend, nowMs);
  const key = flowKeyOf(packet);
  state.opens.remember(key, backend.token, nowMs);
  state.activities.recordOpen(key, backend, nowMs);
  return { type: 'forward', backend, foundBy: { type: 'chosen', key, service, load } };
}

/** An open that no back end may take is given up at once, unless there may be back ends that are not known yet. */
function refuseOpen(
  state: IngressState,
  staying: readonly KnownBackend[],
  open: readonly KnownBackend[],
  nowMs: number,
): PacketDecision {
  if (staying.length > 0 && open.length === 0) {
    return { type: 'reset', reason: 'zones-evacuated' };
  }
  if (open.some(({ registration }) => registration.liveness !== 'dead')) {
    // Nothing else keeps a back end that may be there from being chosen.
    return { type: 'reset', reason: 'all-cold' };
  }
  return state.options.switches.learning === 'dropped' && isLearning(state, nowMs)
    ? { type: 'drop', reason: 'no-backend' }
    : { type: 'reset', reason: 'no-backend' };
}

/**
 * Another balancer has placed the first copy of an open.
 */
export function followPeer(
  state: IngressState,
  key: FlowKey,
  token: number,
  nowMs: number,
): PacketDecision {
  state.opens.remember(key, token, nowMs);
  return forwardCopy(state, token, { type: 'told-by-peer' });
}

/** Just after a start, and while cut off, back ends may exist that are not known here. */
function isLearning(state: IngressState, nowMs: number): boolean {
  const { feedStatus, options } = state;
  const sinceMs = nowMs - (feedStatus.firstCurrentAtMs ?? nowMs);
  return (
    !isReady(state) ||
    !knowsCurrent(state, nowMs) ||
    sinceMs < LEARNING_INTERVALS * options.heartbeatIntervalMs
  );
}

const HASH_MULTIPLIER = 0x9e3779b1;

function hashOf(packet: PacketView): number {
  const mixed = Math.imul(
    packet.sourceHost ^ (packet.sourcePort * HASH_MULTIPLIER),
    HASH_MULTIPLIER,
  );
  return (mixed ^ (mixed >>> 15)) >>> 0;
}
