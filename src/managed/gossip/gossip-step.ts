/**
 * @file The decision step of gossip: datagrams of other balancers and time in, datagrams out. A balancer keeps the
 * members of its own zone one by one and other zones by a summary each. Which members are suspected or dead stands in
 * `failure-detector.ts` and `suspicion.ts`, zones in `zone-summaries.ts`.
 */
import { match } from 'ts-pattern';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import { detectorTick, forwardPing, handleAck } from './failure-detector.js';
import { ackMessage, ownDigest, pingMessage, zoneHeader } from './gossip-headers.js';
import { MAX_RECORDS, type GossipMessage } from './gossip-messages.js';
import { gossipAddress, type MemberRecord } from './member.js';
import { applyRecord, presentMembers } from './member-list.js';
import { shuffled } from './shuffle.js';
import { sendTo, type GossipSendEffect, type GossipState } from './gossip-state.js';
import { summaryOf, applySummaries, zonesMessage, zonesTick } from './zone-summaries.js';

/** Time between two tries to find members, in milliseconds, while alone and otherwise. Not measured. */
const LONELY_SEED_INTERVAL_MS = 500;
const SEED_INTERVAL_MS = 10_000;
/** Addresses that are tried at a time while alone. Not measured. */
const SEEDS_AT_A_TIME = 5;
/** Time between two whole lists sent, in milliseconds; bounds the bytes of lists that differ. Not measured. */
const SYNC_INTERVAL_MS = 5_000;
/** Members that get a leave directly; the others get it as an update. Not measured. */
const LEAVE_MESSAGES = 5;

/** An event of the gossip step. */
export type GossipEvent =
  | { readonly type: 'gossip'; readonly message: GossipMessage; readonly from: Address }
  /** Time has passed; comes at least every 100 ms. */
  | { readonly type: 'tick' }
  /** This balancer stops, and sends so. */
  | { readonly type: 'leave' };

/**
 * Handles one event.
 * @returns the datagrams to send
 */
export function gossipStep(
  state: GossipState,
  event: GossipEvent,
  context: StepContext,
): GossipSendEffect[] {
  return match(event)
    .with({ type: 'gossip' }, ({ message, from }) => handleGossip(state, message, from, context))
    .with({ type: 'tick' }, () => tick(state, context))
    .with({ type: 'leave' }, () => leave(state, context))
    .exhaustive();
}

function tick(state: GossipState, context: StepContext): GossipSendEffect[] {
  if (state.self.status === 'left') {
    return [];
  }
  return [
    ...detectorTick(state, context),
    ...zonesTick(state, context),
    ...findMembers(state, context),
  ];
}

function handleGossip(
  state: GossipState,
  message: GossipMessage,
  from: Address,
  context: StepContext,
): GossipSendEffect[] {
  applySummaries(state, message.zones, context.nowMs);
  if (message.zone !== state.options.zone) {
    return handleOtherZone(state, message, from, context);
  }
  [message.sender, ...message.updates].forEach((record) =>
    applyUpdate(state, record, context.nowMs),
  );
  return match(message)
    .with({ type: 'ping' }, ({ sequence, sender, digest }) => [
      reply(from, ackMessage(state, sequence, sender.id)),
      ...syncIfDifferent(state, digest, from, context),
    ])
    .with({ type: 'ping-request' }, (request) => forwardPing(state, request, from, context.nowMs))
    .with({ type: 'ack' }, (ack) => [
      ...handleAck(state, ack),
      ...syncIfDifferent(state, ack.digest, from, context),
    ])
    .with({ type: 'sync' }, ({ wantsAnswer }) =>
      wantsAnswer ? sendWholeList(state, from, false) : [],
    )
    .with({ type: 'zones' }, () => [])
    .exhaustive();
}

/** A balancer of another zone learns about zones, and where its own zone is. */
function handleOtherZone(
  state: GossipState,
  message: GossipMessage,
  from: Address,
  context: StepContext,
): GossipSendEffect[] {
  const { zone, sender } = message;
  const { host, gossipPort, linkPort } = sender;
  const contacts = [{ host, gossipPort, linkPort }];
  // Applied only where nothing is known of the zone.
  applySummaries(state, [{ zone, version: 0, liveCount: 1, contacts }], context.nowMs);
  const wantsAnswer = message.type === 'ping' || (message.type === 'zones' && message.wantsAnswer);
  if (!wantsAnswer) {
    return [];
  }
  const answer = zonesMessage(state, false);
  const first = [...summaryOf(state, zone), ...summaryOf(state, state.options.zone)];
  const rest = answer.zones.filter((summary) => !first.includes(summary));
  return [reply(from, { ...answer, zones: [...first, ...rest] })];
}

/** Applies a record; a suspicion of this balancer itself is refuted by a higher incarnation. */
function applyUpdate(state: GossipState, record: MemberRecord, nowMs: number): void {
  const { self } = state;
  if (record.id !== self.id) {
    applyRecord(state.list, deathAsSuspicion(state, record), nowMs);
    return;
  }
  const isLater = record.incarnation > self.incarnation;
  const isDoubt = record.incarnation === self.incarnation && record.status !== 'alive';
  if (self.status === 'alive' && (isLater || isDoubt)) {
    state.self = { ...self, incarnation: record.incarnation + 1 };
  }
}

/**
 * A member that is alive here gets its time to refute even where another balancer believes it dead: after a partition
 * both sides receive such records from each other.
 */
function deathAsSuspicion(state: GossipState, record: MemberRecord): MemberRecord {
  const known = state.list.members.get(record.id)?.record;
  return record.status === 'dead' && known?.status === 'alive'
    ? { ...record, status: 'suspect' }
    : record;
}

function syncIfDifferent(
  state: GossipState,
  digest: number,
  to: Address,
  { nowMs }: StepContext,
): GossipSendEffect[] {
  if (digest === ownDigest(state) || nowMs < state.nextSyncAtMs) {
    return [];
  }
  state.nextSyncAtMs = nowMs + SYNC_INTERVAL_MS;
  return sendWholeList(state, to, true);
}

/** Dead members are sent too; a list without them would look like one of a balancer that never knew them. */
function sendWholeList(state: GossipState, to: Address, wantsAnswer: boolean): GossipSendEffect[] {
  const records = [...state.list.members.values()].map(({ record }) => record);
  const parts = Math.max(1, Math.ceil(records.length / MAX_RECORDS));
  const header = zoneHeader(state);
  return Array.from({ length: parts }, (_, part) =>
    reply(to, {
      ...header,
      type: 'sync',
      updates: records.slice(part * MAX_RECORDS, (part + 1) * MAX_RECORDS),
      wantsAnswer: wantsAnswer && part === parts - 1,
    }),
  );
}

/**
 * Looks for members: among the seeds, and among those believed dead, so that parts of a zone that
 * believe each other dead find together again.
 */
function findMembers(state: GossipState, context: StepContext): GossipSendEffect[] {
  if (context.nowMs < state.nextSeedAtMs) {
    return [];
  }
  const present = presentMembers(state.list);
  const isAlone = present.length === 0;
  const intervalMs = isAlone ? LONELY_SEED_INTERVAL_MS : SEED_INTERVAL_MS;
  state.nextSeedAtMs = context.nowMs + intervalMs;
  const known = new Set(
    [state.self, ...present].map((member) => formatAddress(gossipAddress(member))),
  );
  const unknown = candidateAddresses(state).filter((address) => !known.has(formatAddress(address)));
  return shuffled(unknown, context)
    .slice(0, isAlone ? SEEDS_AT_A_TIME : 1)
    .map((to) => reply(to, pingMessage(state)));
}

function candidateAddresses(state: GossipState): Address[] {
  const dead = [...state.list.members.values()]
    .map(({ record }) => record)
    .filter(({ status }) => status === 'dead');
  return [...state.options.seeds, ...[...dead, ...state.ownZoneContacts].map(gossipAddress)];
}

function leave(state: GossipState, context: StepContext): GossipSendEffect[] {
  state.self = { ...state.self, status: 'left' };
  return shuffled(presentMembers(state.list), context)
    .slice(0, LEAVE_MESSAGES)
    .map((member) => sendTo(member, pingMessage(state, member.id)));
}

function reply(to: Address, message: GossipMessage): GossipSendEffect {
  return { type: 'gossip-send', to, message };
}
