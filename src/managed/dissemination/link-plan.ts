/**
 * @file Where may a balancer link to get the configuration and its lease? Two relays of each zone, chosen by rendezvous hashing
 * among the zone's live balancers, prefer control machines; the others prefer the relays, half to each. Other balancers come
 * last, for when no control machine can be reached.
 *
 * Inputs: the members known by gossip, and the control addresses of the settings. Returns the candidates, best first;
 * `link-choice.ts` uses the first that works.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { otherZoneContacts, zoneMembers, type GossipState } from '../gossip/gossip-state.js';
import { linkAddress, type MemberRecord } from '../gossip/member.js';
import { chooseByRendezvous, hashText } from '../../shared/common/rendezvous.js';

/**
 * Relays of a zone: with 20 zones the leader has 40 links (docs/design/dissemination.md). With one, its loss would
 * cut its whole zone off for a while.
 */
const RELAYS_PER_ZONE = 2;
/** Bound of the other balancers of the zone, and of other zones, that are candidates. Not measured. */
const MAX_PEER_CANDIDATES = 3;

/** Candidates for a link, best first. */
export interface LinkPlan {
  readonly candidates: readonly Address[];
  /** How many of them, from the first on, are as good as any. */
  readonly preferredCount: number;
  /** True for a balancer that links to control machines. */
  readonly isRelay: boolean;
}

/**
 * @returns the names of the zone's relays, the same at all that know the same members
 */
function zoneRelays(zone: string, members: readonly MemberRecord[]): string[] {
  const names = members.filter(({ status }) => status === 'alive').map(({ id }) => id);
  return chooseByRendezvous(`relay/${zone}`, names, RELAYS_PER_ZONE);
}

/**
 * Plans the links of a balancer. A relay prefers control machines, any other one its zone's relays;
 * other balancers come last, for when no control machine can be reached.
 * @param controlAddresses in the settings' order
 */
export function planLinks(membership: GossipState, controlAddresses: readonly Address[]): LinkPlan {
  const { id, zone } = membership.options;
  const members = zoneMembers(membership);
  const relays = zoneRelays(zone, members);
  const controls = rotated(controlAddresses, hashText(id));
  const others = members.filter((member) => member.id !== id);
  const relayLinks = rotated(
    others.filter((member) => relays.includes(member.id)).map(linkAddress),
    hashText(id),
  );
  const peers = [
    ...others
      .filter((member) => !relays.includes(member.id))
      .slice(0, MAX_PEER_CANDIDATES)
      .map(linkAddress),
    ...otherZoneContacts(membership).slice(0, MAX_PEER_CANDIDATES).map(linkAddress),
  ];
  return relays.includes(id)
    ? planOf(true, controls, [...relayLinks, ...peers])
    : planOf(false, relayLinks, [...controls, ...peers]);
}

/**
 * @returns true where both plans prefer the same addresses and have the same others
 */
export function isSamePlan(one: LinkPlan, other: LinkPlan): boolean {
  const text = ({ candidates }: LinkPlan) => candidates.map(formatAddress).join();
  return one.preferredCount === other.preferredCount && text(one) === text(other);
}

/**
 * @returns the place of an address among the candidates; -1 where it is none
 */
export function placeInPlan(plan: LinkPlan, address: Address): number {
  const text = formatAddress(address);
  return plan.candidates.findIndex((candidate) => formatAddress(candidate) === text);
}

function planOf(
  isRelay: boolean,
  preferred: readonly Address[],
  rest: readonly Address[],
): LinkPlan {
  return { candidates: [...preferred, ...rest], preferredCount: preferred.length, isRelay };
}

/** Spreads balancers over equally good candidates. */
function rotated<Item>(items: readonly Item[], by: number): Item[] {
  const start = items.length === 0 ? 0 : by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
