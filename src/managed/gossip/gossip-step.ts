/**
 * @file The gossip step: handles received messages and ticks, and returns the messages to send. Covers membership
 * updates, refutation, anti-entropy and member discovery.
 */
import { match } from 'ts-pattern';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import { failureDetectorTick, forwardPing, handleAck } from './failure-detector.js';
import { ackMessage, ownDigest, pingMessage, zoneHeader } from './gossip-headers.js';
import { MAX_RECORDS, type GossipMessage } from './gossip-messages.js';
import { gossipAddress, type MemberRecord } from './member.js';
import { applyRecord, presentMembers } from './member-list.js';
import { shuffled } from './shuffle.js';
import { sendTo, type GossipSendEffect, type GossipState } from './gossip-state.js';
import { summaryOf, applySummaries, zonesMessage, zonesTick } from './zone-summaries.js';

/** Interval of discovery pings while no other member is present. */
const ISOLATED_SEED_INTERVAL_MS = 500;
/** Interval of discovery pings otherwise. */
const SEED_INTERVAL_MS = 10_000;
const ISOLATED_SEED_PING_COUNT = 5;
/** Minimum time between two full syncs, to limit traffic while lists differ. */
const SYNC_INTERVAL_MS = 5_000;
/** Members that a leave is sent to directly; the others receive it as an update. */
const LEAVE_MESSAGE_COUNT = 5;

/** An event of the gossip step. */
export type GossipEvent =
  | { readonly type: 'gossip'; readonly message: GossipMessage; readonly from: Address }
  /** Sent at least every 100 ms. */
  | { readonly type: 'tick' }
  /** This balancer stops and announces it. */
  | { readonly type: 'leave' };

/**
 * Applies one event to the state.
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
    ...failureDetectorTick(state, context),
    ...zonesTick(state, context),
    ...discoverMembers(state, context),
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
    return handleOtherZoneMessage(state, message, from, context);
  }
  [message.sender, ...message.updates].forEach((record) =>
    applyUpdate(state, record, context.nowMs),
  );
  return match(message)
    .with({ type: 'ping' }, ({ sequence, sender, digest }) => [
      sendToAddress(from, ackMessage(state, sequence, sender.id)),
      ...syncIfDigestsDiffer(state, digest, from, context),
    ])
    .with({ type: 'ping-request' }, (request) => forwardPing(state, request, from, context.nowMs))
    .with({ type: 'ack' }, (ack) => [
      ...handleAck(state, ack),
      ...syncIfDigestsDiffer(state, ack.digest, from, context),
    ])
    .with({ type: 'sync' }, ({ wantsAnswer }) =>
      wantsAnswer ? sendFullList(state, from, false) : [],
    )
    .with({ type: 'zones' }, () => [])
    .exhaustive();
}

/** Learns a contact of an unknown zone, and answers with zone summaries, the sender's zone first to aid its discovery. */
function handleOtherZoneMessage(
  state: GossipState,
  message: GossipMessage,
  from: Address,
  context: StepContext,
): GossipSendEffect[] {
  const { zone, sender } = message;
  const { host, gossipPort, linkPort } = sender;
  const contacts = [{ host, gossipPort, linkPort }];
  // Version 0 applies only if the zone is unknown.
  applySummaries(state, [{ zone, version: 0, liveCount: 1, contacts }], context.nowMs);
  const wantsAnswer = message.type === 'ping' || (message.type === 'zones' && message.wantsAnswer);
  if (!wantsAnswer) {
    return [];
  }
  const answer = zonesMessage(state, false);
  const first = [...summaryOf(state, zone), ...summaryOf(state, state.options.zone)];
  const rest = answer.zones.filter((summary) => !first.includes(summary));
  return [sendToAddress(from, { ...answer, zones: [...first, ...rest] })];
}

/** Applies a record; refutes a suspicion of this balancer with a higher incarnation. */
function applyUpdate(state: GossipState, record: MemberRecord, nowMs: number): void {
  const { self } = state;
  if (record.id !== self.id) {
    applyRecord(state.list, deathAsSuspicion(state, record), nowMs);
    return;
  }
  const isNewer = record.incarnation > self.incarnation;
  const needsRefutation = record.incarnation === self.incarnation && record.status !== 'alive';
  if (self.status === 'alive' && (isNewer || needsRefutation)) {
    state.self = { ...self, incarnation: record.incarnation + 1 };
  }
}

/**
 * Downgrades a death to a suspicion if the member is alive here, so that it can refute: after a partition heals, each
 * side receives records that declare its members dead.
 */
function deathAsSuspicion(state: GossipState, record: MemberRecord): MemberRecord {
  const known = state.list.members.get(record.id)?.record;
  return record.status === 'dead' && known?.status === 'alive'
    ? { ...record, status: 'suspect' }
    : record;
}

function syncIfDigestsDiffer(
  state: GossipState,
  digest: number,
  to: Address,
  { nowMs }: StepContext,
): GossipSendEffect[] {
  if (digest === ownDigest(state) || nowMs < state.nextSyncAtMs) {
    return [];
  }
  state.nextSyncAtMs = nowMs + SYNC_INTERVAL_MS;
  return sendFullList(state, to, true);
}

/** Sends the member list, dead members included, so that the receiver learns of their deaths. */
function sendFullList(state: GossipState, to: Address, wantsAnswer: boolean): GossipSendEffect[] {
  const records = [...state.list.members.values()].map(({ record }) => record);
  const parts = Math.max(1, Math.ceil(records.length / MAX_RECORDS));
  const header = zoneHeader(state);
  return Array.from({ length: parts }, (_, part) =>
    sendToAddress(to, {
      ...header,
      type: 'sync',
      updates: records.slice(part * MAX_RECORDS, (part + 1) * MAX_RECORDS),
      wantsAnswer: wantsAnswer && part === parts - 1,
    }),
  );
}

/**
 * Pings addresses of unknown members: seeds, contacts of the own zone, and dead members, so that the two sides of a
 * partition rejoin.
 */
function discoverMembers(state: GossipState, context: StepContext): GossipSendEffect[] {
  if (context.nowMs < state.nextSeedPingAtMs) {
    return [];
  }
  const present = presentMembers(state.list);
  const isIsolated = present.length === 0;
  const intervalMs = isIsolated ? ISOLATED_SEED_INTERVAL_MS : SEED_INTERVAL_MS;
  state.nextSeedPingAtMs = context.nowMs + intervalMs;
  const known = new Set(
    [state.self, ...present].map((member) => formatAddress(gossipAddress(member))),
  );
  const unknown = candidateAddresses(state).filter((address) => !known.has(formatAddress(address)));
  return shuffled(unknown, context)
    .slice(0, isIsolated ? ISOLATED_SEED_PING_COUNT : 1)
    .map((to) => sendToAddress(to, pingMessage(state)));
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
    .slice(0, LEAVE_MESSAGE_COUNT)
    .map((member) => sendTo(member, pingMessage(state, member.id)));
}

function sendToAddress(to: Address, message: GossipMessage): GossipSendEffect {
  return { type: 'gossip-send', to, message };
}
