/**
 * @file Zone summaries: the live count and a few contacts of each zone. The representatives of a zone, chosen by
 * rendezvous hashing, update its summary and exchange summaries with other zones; members piggyback them on gossip.
 */
import type { StepContext } from '../../shared/common/step.js';
import { MAX_CONTACTS, MAX_ZONES, type ZonesMessage, type ZoneSummary } from './gossip-messages.js';
import type { MemberAddresses } from './member.js';
import { sendTo, zoneMembers, type GossipSendEffect, type GossipState } from './gossip-state.js';
import { chooseByRendezvous } from '../../shared/common/rendezvous.js';

/** Representatives of a zone; more than one, so that the summary stays current if one fails. */
const REPRESENTATIVE_COUNT = 2;
/** Time between two updates of the own zone's summary. */
const SUMMARY_INTERVAL_MS = 5_000;
/** Time between two exchanges of a representative with other zones. */
const ZONE_EXCHANGE_INTERVAL_MS = 2_000;
/** How long a zone without updates is retained; regions may be partitioned for as long. */
const ZONE_RETENTION_MS = 3_600_000;

/**
 * @returns the IDs of the own zone's representatives
 */
function representatives(state: GossipState): string[] {
  const names = zoneMembers(state).map(({ id }) => id);
  return chooseByRendezvous(`zone/${state.options.zone}`, names, REPRESENTATIVE_COUNT);
}

/**
 * Applies summaries whose version is higher than the known one.
 */
export function applySummaries(
  state: GossipState,
  summaries: readonly ZoneSummary[],
  nowMs: number,
): void {
  for (const summary of summaries) {
    if (summary.zone === state.options.zone) {
      updateOwnZoneContacts(state, summary);
    }
    const known = state.zones.get(summary.zone)?.summary;
    if (known === undefined) {
      // The contacts of a new zone are link candidates.
      state.list.version += 1;
    }
    if (known === undefined || summary.version > known.version) {
      state.zones.set(summary.zone, { summary, renewedAtMs: nowMs });
    }
  }
}

/** Stores the contacts; a balancer without other members pings them at the next tick. */
function updateOwnZoneContacts(state: GossipState, { contacts }: ZoneSummary): void {
  const isFirst = state.ownZoneContacts.length === 0;
  state.ownZoneContacts = contacts;
  if (isFirst && state.list.members.size === 0) {
    state.nextSeedPingAtMs = 0;
  }
}

/**
 * @returns the next summaries in round-robin order
 */
export function nextSummaries(state: GossipState, maxCount: number): ZoneSummary[] {
  const known = [...state.zones.values()];
  const count = Math.min(maxCount, known.length);
  const chosen = Array.from({ length: count }, (_, offset) => {
    const position = (state.zoneCursor + offset) % known.length;
    return known[position]?.summary;
  });
  state.zoneCursor = known.length === 0 ? 0 : (state.zoneCursor + count) % known.length;
  return chosen.filter((summary) => summary !== undefined);
}

/**
 * Updates the own zone's summary and exchanges summaries with another zone, when due and if this balancer is a
 * representative. Every balancer removes stale zones.
 */
export function zonesTick(state: GossipState, context: StepContext): GossipSendEffect[] {
  const { nowMs } = context;
  if (nowMs < state.nextSummaryAtMs && nowMs < state.nextZoneExchangeAtMs) {
    return [];
  }
  const isRepresentative = representatives(state).includes(state.options.id);
  if (nowMs >= state.nextSummaryAtMs) {
    state.nextSummaryAtMs = nowMs + SUMMARY_INTERVAL_MS;
    removeStaleZones(state, nowMs);
    if (isRepresentative) {
      updateOwnSummary(state, context);
    }
  }
  if (nowMs < state.nextZoneExchangeAtMs) {
    return [];
  }
  state.nextZoneExchangeAtMs = nowMs + ZONE_EXCHANGE_INTERVAL_MS;
  return isRepresentative ? sendToOtherZone(state, context) : [];
}

/**
 * @returns a message with zone summaries for a balancer of another zone
 */
export function zonesMessage(state: GossipState, wantsAnswer: boolean): ZonesMessage {
  return {
    type: 'zones',
    zone: state.options.zone,
    sender: state.self,
    updates: [],
    zones: nextSummaries(state, MAX_ZONES),
    wantsAnswer,
  };
}

/**
 * @returns the summary of the zone; empty if it is unknown
 */
export function summaryOf(state: GossipState, zone: string): ZoneSummary[] {
  const known = state.zones.get(zone);
  return known === undefined ? [] : [known.summary];
}

function updateOwnSummary(state: GossipState, { nowMs, random }: StepContext): void {
  const { zone, id } = state.options;
  const members = zoneMembers(state);
  // The contacts are the representatives and one random other member.
  const preferred = new Set([...representatives(state), id]);
  const others = members.filter((member) => !preferred.has(member.id));
  const extra = others[random.nextInt(Math.max(1, others.length))];
  const contacts = [
    ...members.filter((member) => preferred.has(member.id)),
    ...(extra === undefined ? [] : [extra]),
  ]
    .slice(0, MAX_CONTACTS)
    .map(({ host, gossipPort, linkPort }) => ({ host, gossipPort, linkPort }));
  const version = (state.zones.get(zone)?.summary.version ?? 0) + 1;
  const summary = { zone, version, liveCount: members.length, contacts };
  state.zones.set(zone, { summary, renewedAtMs: nowMs });
}

function sendToOtherZone(state: GossipState, context: StepContext): GossipSendEffect[] {
  const others = [...state.zones.keys()].filter((zone) => zone !== state.options.zone);
  const zone = others[context.random.nextInt(Math.max(1, others.length))];
  const contact = zone === undefined ? undefined : randomContact(state, zone, context);
  if (contact === undefined) {
    return [];
  }
  const message = zonesMessage(state, true);
  const own = summaryOf(state, state.options.zone);
  const rest = message.zones.filter((summary) => summary.zone !== state.options.zone);
  return [sendTo(contact, { ...message, zones: [...own, ...rest].slice(0, MAX_ZONES) })];
}

function randomContact(
  state: GossipState,
  zone: string,
  { random }: StepContext,
): MemberAddresses | undefined {
  const contacts = state.zones.get(zone)?.summary.contacts ?? [];
  return contacts[random.nextInt(Math.max(1, contacts.length))];
}

function removeStaleZones(state: GossipState, nowMs: number): void {
  for (const [zone, { renewedAtMs }] of state.zones) {
    if (nowMs - renewedAtMs > ZONE_RETENTION_MS) {
      state.zones.delete(zone);
    }
  }
}
