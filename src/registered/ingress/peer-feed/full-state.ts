/**
 * @file Builds the messages with everything that this balancer has learned from its control machine.
 */
import { nextPartOf } from '../../declared/config-update.js';
import type {
  AgedRecord,
  BalancerInfo,
  ControlInfo,
  FeedMessage,
  FullSyncStage,
} from '../../group/group-messages.js';
import type { Departure } from '../../registry/backend-record.js';
import type { LivenessChange } from '../../registry/backend-liveness.js';
import type { IngressState } from '../ingress-state.js';
import type { KnownBackend } from '../known-backend.js';

/** Names of each kind per message; about 9 KB, so that a narrow link carries it well within the timeout of a feed. */
const MAX_NAMES_PER_MESSAGE = 256;
/** As many as a control machine states. */
const MAX_UNREGISTERED_DEPARTURES = 1_000;

/** The fields that all messages of a peer feed have in common: they make no balancer current. */
const PEER_FEED = { type: 'feed', isCurrent: false, isCounted: false } as const;

/** What the state of an ingress does not hold. */
export interface PeerFeedContext {
  /** The balancer that gives its feed; not in its own list of other balancers. */
  readonly giver: BalancerInfo;
  /** Control machines as last named by one of them. */
  readonly controls: readonly ControlInfo[];
}

/** @returns back ends, balancers, zones and control machines, as a full sync in messages of bounded size */
export function fullStateMessages(
  state: IngressState,
  { giver, controls }: PeerFeedContext,
  nowMs: number,
): FeedMessage[] {
  const backends = [...state.backends.all()];
  const balancers = [giver, ...state.peers.rotatedPeers(0, state.peers.size)];
  const others = state.backends.unregisteredDepartures(MAX_UNREGISTERED_DEPARTURES);
  const longest = Math.max(backends.length, balancers.length, others.length);
  const count = Math.max(1, Math.ceil(longest / MAX_NAMES_PER_MESSAGE));
  return Array.from({ length: count }, (_, index) => ({
    ...PEER_FEED,
    isComplete: index === count - 1,
    transfer: stageOf(index, count),
    ...backendFields(state, sliceOf(backends, index), sliceOf(others, index), nowMs),
    balancers: sliceOf(balancers, index),
    ...(index === 0 && { controls, zones: state.zones.updates(nowMs) }),
  }));
}

/** @returns the update from a version to the configuration in force, in messages of bounded size */
export function configMessages({ heldConfig }: IngressState, fromVersion: number): FeedMessage[] {
  const update = heldConfig?.updateFrom(fromVersion);
  if (update === undefined) {
    return [];
  }
  const messages: FeedMessage[] = [];
  let changesSent = 0;
  do {
    const config = nextPartOf(update, changesSent);
    changesSent += config.changes.length;
    messages.push({ ...PEER_FEED, isComplete: changesSent === config.changeCount, config });
  } while (changesSent < update.changes.length);
  return messages;
}

/**
 * @returns the part of an update of a control machine that is passed on; undefined if there is none. Loads and answer stats
 *   are left out, since they are sums for one receiver; configurations are sent by version.
 */
export function relayedMessage(message: FeedMessage): FeedMessage | undefined {
  const { records, judgements, departures, balancers, lostBalancers, controls, zones } = message;
  const fields = { records, judgements, departures, balancers, lostBalancers, controls, zones };
  const present = Object.entries(fields).filter(([, value]) => value !== undefined);
  return present.length === 0
    ? undefined
    : { ...PEER_FEED, isComplete: true, ...Object.fromEntries(present) };
}

/** Liveness is stated for each back end, since the age of a record does not imply it: unchanged records aren't sent again. */
function backendFields(
  state: IngressState,
  backends: readonly KnownBackend[],
  otherDepartures: readonly Departure[],
  nowMs: number,
) {
  const asOfMs = state.feedStatus.lastCurrentAtMs ?? nowMs;
  const records = backends.map(({ registration }): AgedRecord => ({
    record: registration.record,
    ageMs: Math.round(nowMs - registration.recordReceivedAtMs),
  }));
  const judgements = backends.map(({ id, registration }): LivenessChange => {
    const { liveness, lastHeartbeatAtMs } = registration;
    const heardAtMs = liveness === 'alive' ? asOfMs : lastHeartbeatAtMs;
    return { backendId: id, liveness, silentMs: Math.max(0, Math.round(nowMs - heardAtMs)) };
  });
  const departures = backends.flatMap(({ id, registration: { departure } }) =>
    departure === undefined ? [] : [{ backendId: id, kind: departure }],
  );
  return { records, judgements, departures: [...departures, ...otherDepartures] };
}

function sliceOf<Item>(items: readonly Item[], index: number): readonly Item[] {
  return items.slice(index * MAX_NAMES_PER_MESSAGE, (index + 1) * MAX_NAMES_PER_MESSAGE);
}

function stageOf(index: number, count: number): FullSyncStage {
  if (count === 1) {
    return 'whole';
  }
  if (index === 0) {
    return 'begins';
  }
  return index === count - 1 ? 'ends' : 'goes-on';
}
