/**
 * @file What do zones know of one another? Of each zone the number of live balancers and a few addresses. Two
 * representatives of a zone, chosen by rendezvous hashing, renew its summary and exchange summaries with other zones;
 * within the zone the summaries travel along with pings.
 */
import type { StepContext } from '../../shared/common/step.js';
import { MAX_CONTACTS, MAX_ZONES, type ZonesMessage, type ZoneSummary } from './gossip-messages.js';
import type { MemberAddresses } from './member.js';
import { sendTo, zoneMembers, type GossipSendEffect, type GossipState } from './gossip-state.js';
import { chooseByRendezvous } from '../../shared/common/rendezvous.js';

/** Representatives of a zone. Not measured; with one, its loss would leave the summary old for a while. */
const REPRESENTATIVES = 2;
/** Time between two summaries of the own zone, in milliseconds. Not measured. */
const SUMMARY_INTERVAL_MS = 5_000;
/** Time between two messages of a representative to other zones, in milliseconds. Not measured. */
const ZONES_INTERVAL_MS = 2_000;
/**
 * A zone that was not renewed for this time is forgotten, in milliseconds: an hour; regions may lose each other for
 * that long.
 */
const FORGET_ZONE_AFTER_MS = 3_600_000;

/**
 * @returns the names of the own zone's representatives
 */
function representatives(state: GossipState): string[] {
  const names = zoneMembers(state).map(({ id }) => id);
  return chooseByRendezvous(`zone/${state.options.zone}`, names, REPRESENTATIVES);
}

/**
 * Applies summaries of a higher version than known.
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
      // Its contacts are candidates for links.
      state.list.version += 1;
    }
    if (known === undefined || summary.version > known.version) {
      state.zones.set(summary.zone, { summary, renewedAtMs: nowMs });
    }
  }
}

/** A balancer that is still alone in its zone tries the contacts at once. */
function updateOwnZoneContacts(state: GossipState, { contacts }: ZoneSummary): void {
  const isFirst = state.ownZoneContacts.length === 0;
  state.ownZoneContacts = contacts;
  if (isFirst && state.list.members.size === 0) {
    state.nextSeedAtMs = 0;
  }
}

/**
 * @returns the next summaries in turn, for a datagram to any member
 */
export function nextSummaries(state: GossipState, bound: number): ZoneSummary[] {
  const known = [...state.zones.values()];
  const count = Math.min(bound, known.length);
  const chosen = Array.from({ length: count }, (_, offset) => {
    const position = (state.zoneCursor + offset) % known.length;
    return known[position]?.summary;
  });
  state.zoneCursor = known.length === 0 ? 0 : (state.zoneCursor + count) % known.length;
  return chosen.filter((summary) => summary !== undefined);
}

/**
 * Renews the own zone's summary and talks to another zone, where this balancer speaks for its zone and
 * it is time.
 */
export function zonesTick(state: GossipState, context: StepContext): GossipSendEffect[] {
  const { nowMs } = context;
  if (nowMs < state.nextSummaryAtMs && nowMs < state.nextZonesAtMs) {
    return [];
  }
  const isRepresentative = representatives(state).includes(state.options.id);
  if (nowMs >= state.nextSummaryAtMs) {
    state.nextSummaryAtMs = nowMs + SUMMARY_INTERVAL_MS;
    forgetOldZones(state, nowMs);
    if (isRepresentative) {
      renewSummary(state, context);
    }
  }
  if (nowMs < state.nextZonesAtMs) {
    return [];
  }
  state.nextZonesAtMs = nowMs + ZONES_INTERVAL_MS;
  return isRepresentative ? sendToOtherZone(state, context) : [];
}

/**
 * @returns the message to a balancer of another zone
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
 * @returns the summary of a zone, so that a balancer of it finds its neighbours
 */
export function summaryOf(state: GossipState, zone: string): ZoneSummary[] {
  const known = state.zones.get(zone);
  return known === undefined ? [] : [known.summary];
}

function renewSummary(state: GossipState, { nowMs, random }: StepContext): void {
  const { zone, id } = state.options;
  const members = zoneMembers(state);
  // The representatives are always among the contacts, others in turn.
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

function forgetOldZones(state: GossipState, nowMs: number): void {
  for (const [zone, { renewedAtMs }] of state.zones) {
    if (nowMs - renewedAtMs > FORGET_ZONE_AFTER_MS) {
      state.zones.delete(zone);
    }
  }
}
