/**
 * @file What a message to balancers says of each back end, balancer and control machine that it names, looked
 * up when the message is made.
 */
import { formatAddress } from '../../shared/common/address.js';
import { currentMembership } from '../../shared/consensus/consensus-state.js';
import type { LivenessChange } from '../registry/backend-liveness.js';
import type { Departure } from '../registry/backend-record.js';
import type { PendingUpdates } from './pending-updates.js';
import type {
  AgedRecord,
  BalancerInfo,
  ControlInfo,
  FeedMessage,
  ZoneUpdate,
} from './group-messages.js';
import type { GroupState } from './group-state.js';

/** What a message says, without whose word it is and how far it reaches. */
type FeedParts = Omit<FeedMessage, 'type' | 'isCurrent' | 'isComplete' | 'isCounted'>;

/**
 * @param news names of what has changed
 * @returns what a message says of each
 */
export function feedParts(state: GroupState, news: PendingUpdates, nowMs: number): FeedParts {
  const { registered, livenessChanged, departed, balancers, areControlsChanged, areZonesChanged } =
    news;
  const records = [...registered].flatMap((id) => agedRecordOf(state, id, nowMs));
  const judgements = [...new Set([...livenessChanged, ...registered])].flatMap((id) =>
    isTellingByAge(state, registered, id) ? [] : judgementOf(state, id, nowMs),
  );
  const departures = [...departed].flatMap((id) => departureOf(state, id));
  const { publishedBalancers } = state;
  const came: BalancerInfo[] = [];
  const lostBalancers: string[] = [];
  for (const name of balancers) {
    const info = publishedBalancers.get(name);
    if (info === undefined) {
      lostBalancers.push(name);
    } else {
      came.push(info);
    }
  }
  return {
    ...(records.length > 0 && { records }),
    ...(judgements.length > 0 && { judgements }),
    ...(departures.length > 0 && { departures }),
    ...(came.length > 0 && { balancers: came }),
    ...(lostBalancers.length > 0 && { lostBalancers }),
    ...(areControlsChanged && { controls: allControls(state) }),
    ...(areZonesChanged && { zones: toldZones(state, nowMs) }),
  };
}

function silenceOf(state: GroupState, heardAtMs: number, nowMs: number): number {
  const listeningSinceMs = state.listeningSinceMs ?? Number.NEGATIVE_INFINITY;
  return Math.max(0, Math.round(nowMs - Math.max(heardAtMs, listeningSinceMs)));
}

function agedRecordOf(state: GroupState, id: string, nowMs: number): AgedRecord[] {
  const known = state.registry.get(id);
  return known === undefined
    ? []
    : [{ record: known.record, ageMs: silenceOf(state, known.lastHeartbeatAtMs, nowMs) }];
}

/** The age of a record tells how it is judged, but for one whose address another one holds. */
function isTellingByAge(state: GroupState, registered: ReadonlySet<string>, id: string): boolean {
  return registered.has(id) && !state.registry.isSuperseded(id);
}

function judgementOf(state: GroupState, backendId: string, nowMs: number): LivenessChange[] {
  const known = state.registry.get(backendId);
  if (known === undefined) {
    return [];
  }
  const { lastHeartbeatAtMs } = known;
  const liveness = state.registry.isSuperseded(backendId) ? 'dead' : known.liveness;
  return [{ backendId, liveness, silentMs: silenceOf(state, lastHeartbeatAtMs, nowMs) }];
}

function departureOf({ replicated }: GroupState, backendId: string): Departure[] {
  const kind = replicated.departureOf(backendId);
  return kind === undefined ? [] : [{ backendId, kind }];
}

function allControls(state: GroupState): ControlInfo[] {
  const addresses = currentMembership(state.consensus).members.map(
    ({ linkAddress }) => linkAddress,
  );
  const byText = new Map(addresses.map((address) => [formatAddress(address), address]));
  return [...byText].map(([text, linkAddress]) => {
    const zone = zoneOfControl(state, text);
    return { linkAddress, ...(zone !== undefined && { zone }) };
  });
}

/** All of them: whoever lacks one lacks what was ordered last, and there are few. */
function toldZones({ replicated, readmittedAtMs }: GroupState, nowMs: number): ZoneUpdate[] {
  return replicated.zones.all().map((status) => {
    const atMs = status.isEvacuated ? undefined : readmittedAtMs.get(status.zone);
    const readmittedAgoMs = atMs === undefined ? undefined : Math.round(nowMs - atMs);
    return { ...status, ...(readmittedAgoMs !== undefined && { readmittedAgoMs }) };
  });
}

function zoneOfControl({ options, controlZones }: GroupState, address: string): string | undefined {
  return address === formatAddress(options.linkAddress) ? options.zone : controlZones.get(address);
}
