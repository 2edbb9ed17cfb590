/**
 * @file Builds feed messages from their plans, with the current state of each planned name. Equal plans within a tick
 * share one message object, so that it is encoded once.
 */
import { formatAddress } from '../../../shared/common/address.js';
import { currentMembership } from '../../../shared/consensus/consensus-state.js';
import type { LivenessChange } from '../../registry/backend-liveness.js';
import type { Departure } from '../../registry/backend-record.js';
import type { MessagePlan } from './feed-plan.js';
import type {
  AgedRecord,
  BalancerInfo,
  ControlInfo,
  FeedMessage,
  ZoneUpdate,
} from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import type { PendingUpdates } from './pending-updates.js';

/** The part of the group state that messages are built from. */
export type FeedMessageState = Pick<
  GroupState,
  | 'balancers'
  | 'consensus'
  | 'feedMessages'
  | 'heartbeats'
  | 'options'
  | 'readmissions'
  | 'registry'
  | 'replicated'
>;

/** The fields of a message that are built from the names in its plan. */
type UpdateFields = Omit<
  FeedMessage,
  'type' | 'isCurrent' | 'isComplete' | 'isCounted' | 'transfer' | 'config'
>;

/** @returns the message for a plan; the same object for equal plans within a tick */
export function messageForPlan(
  state: FeedMessageState,
  plan: MessagePlan,
  nowMs: number,
): FeedMessage {
  const key = planKey(plan);
  const message = state.feedMessages.get(key) ?? createMessage(state, plan, nowMs);
  state.feedMessages.set(key, message);
  return message;
}

function planKey({ updates, config, ...plan }: MessagePlan): string {
  const { registered, livenessChanged, departed, balancers } = updates;
  const { areControlsChanged, areZonesChanged } = updates;
  const names = [registered, livenessChanged, departed, balancers].map((set) => [...set]);
  const part = config && [config.baseVersion, config.version, config.firstChange];
  return JSON.stringify([plan, names, areControlsChanged, areZonesChanged, part]);
}

function createMessage(state: FeedMessageState, plan: MessagePlan, nowMs: number): FeedMessage {
  const { updates, transfer, config, ...flags } = plan;
  return {
    type: 'feed',
    ...flags,
    ...updateFields(state, updates, nowMs),
    ...(transfer && { transfer }),
    ...(config && { config }),
  };
}

function updateFields(
  state: FeedMessageState,
  updates: PendingUpdates,
  nowMs: number,
): UpdateFields {
  const { registered, livenessChanged, departed } = updates;
  const records = [...registered].flatMap((id) => agedRecordOf(state, id, nowMs));
  const judgements = [...new Set([...livenessChanged, ...registered])].flatMap((id) =>
    isLivenessImplied(state, registered, id) ? [] : livenessChangeOf(state, id, nowMs),
  );
  const departures = [...departed].flatMap((id) => departureOf(state, id));
  const { balancers, lostBalancers } = balancerFields(state, updates.balancers);
  return {
    ...(records.length > 0 && { records }),
    ...(judgements.length > 0 && { judgements }),
    ...(departures.length > 0 && { departures }),
    ...(balancers.length > 0 && { balancers }),
    ...(lostBalancers.length > 0 && { lostBalancers }),
    ...(updates.areControlsChanged && { controls: allControls(state) }),
    ...(updates.areZonesChanged && { zones: allZones(state, nowMs) }),
  };
}

function agedRecordOf(state: FeedMessageState, id: string, nowMs: number): AgedRecord[] {
  const entry = state.registry.get(id);
  return entry === undefined
    ? []
    : [{ record: entry.record, ageMs: silenceMs(state, entry.lastHeartbeatAtMs, nowMs) }];
}

function silenceMs(state: FeedMessageState, lastHeartbeatAtMs: number, nowMs: number): number {
  const listeningSinceMs = state.heartbeats.listeningSinceMs ?? Number.NEGATIVE_INFINITY;
  return Math.max(0, Math.round(nowMs - Math.max(lastHeartbeatAtMs, listeningSinceMs)));
}

/** The age of a record implies its liveness, unless another back end has taken over its address. */
function isLivenessImplied(
  { registry }: FeedMessageState,
  registered: ReadonlySet<string>,
  id: string,
): boolean {
  return registered.has(id) && !registry.isSuperseded(id);
}

function livenessChangeOf(
  state: FeedMessageState,
  backendId: string,
  nowMs: number,
): LivenessChange[] {
  const entry = state.registry.get(backendId);
  if (entry === undefined) {
    return [];
  }
  const liveness = state.registry.isSuperseded(backendId) ? 'dead' : entry.liveness;
  return [{ backendId, liveness, silentMs: silenceMs(state, entry.lastHeartbeatAtMs, nowMs) }];
}

function departureOf({ replicated }: FeedMessageState, backendId: string): Departure[] {
  const kind = replicated.departureOf(backendId);
  return kind === undefined ? [] : [{ backendId, kind }];
}

function balancerFields({ balancers: balancerList }: FeedMessageState, names: ReadonlySet<string>) {
  const balancers: BalancerInfo[] = [];
  const lostBalancers: string[] = [];
  for (const name of names) {
    const info = balancerList.published.get(name);
    if (info === undefined) {
      lostBalancers.push(name);
    } else {
      balancers.push(info);
    }
  }
  return { balancers, lostBalancers };
}

function allControls(state: FeedMessageState): ControlInfo[] {
  const addresses = currentMembership(state.consensus).members.map(
    ({ linkAddress }) => linkAddress,
  );
  const byText = new Map(addresses.map((address) => [formatAddress(address), address]));
  return [...byText].map(([text, linkAddress]) => {
    const zone = zoneOfControl(state, text);
    return { linkAddress, ...(zone !== undefined && { zone }) };
  });
}

function zoneOfControl({ options, balancers }: FeedMessageState, address: string) {
  const isOwn = address === formatAddress(options.linkAddress);
  return isOwn ? options.zone : balancers.zoneOfControl(address);
}

/** All zones, since there are few; balancers ignore those that are not newer than their state. */
function allZones({ replicated, readmissions }: FeedMessageState, nowMs: number): ZoneUpdate[] {
  return replicated.zones.all().map((status) => {
    const ageMs = status.isEvacuated ? undefined : readmissions.ageMs(status.zone, nowMs);
    return { ...status, ...(ageMs !== undefined && { readmittedAgoMs: Math.round(ageMs) }) };
  });
}
