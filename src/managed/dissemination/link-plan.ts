/**
 * @file Plans the distribution tree: the upstream link candidates of a balancer, from gossip membership. The relays of a
 * zone, chosen by rendezvous hashing, link to control machines; the zone's other balancers link to the relays.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { otherZoneContacts, zoneMembers, type GossipState } from '../gossip/gossip-state.js';
import { linkAddress, type MemberRecord } from '../gossip/member.js';
import { chooseByRendezvous, hashText } from '../../shared/common/rendezvous.js';

/** More than one, so that a zone stays connected if a relay fails; each adds a link to the leader. */
const RELAYS_PER_ZONE = 2;
/** Maximum number of non-relay candidates from the own zone, and of candidates from other zones. */
const MAX_PEER_CANDIDATES = 3;

/** Upstream link candidates, best first. */
export interface LinkPlan {
  readonly candidates: readonly Address[];
  /** Number of leading candidates that are preferred over the rest. */
  readonly preferredCount: number;
  /** True for a balancer that prefers control machines as upstream. */
  readonly isRelay: boolean;
}

/**
 * @returns the IDs of the zone's relays; equal on all balancers with the same member list
 */
function zoneRelays(zone: string, members: readonly MemberRecord[]): string[] {
  const names = members.filter(({ status }) => status === 'alive').map(({ id }) => id);
  return chooseByRendezvous(`relay/${zone}`, names, RELAYS_PER_ZONE);
}

/**
 * Plans the links of a balancer. A relay prefers control machines, any other balancer its zone's relays. Peers come
 * last, for when no control machine is reachable.
 * @param controlAddresses in the order of the settings
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
    ? createPlan(true, controls, [...relayLinks, ...peers])
    : createPlan(false, relayLinks, [...controls, ...peers]);
}

/**
 * @returns true if both plans have the same candidates and the same number of preferred ones
 */
export function isSamePlan(one: LinkPlan, other: LinkPlan): boolean {
  const text = ({ candidates }: LinkPlan) => candidates.map(formatAddress).join();
  return one.preferredCount === other.preferredCount && text(one) === text(other);
}

/**
 * @returns the index of the address among the candidates, or -1
 */
export function candidateIndex(plan: LinkPlan, address: Address): number {
  const text = formatAddress(address);
  return plan.candidates.findIndex((candidate) => formatAddress(candidate) === text);
}

function createPlan(
  isRelay: boolean,
  preferred: readonly Address[],
  rest: readonly Address[],
): LinkPlan {
  return { candidates: [...preferred, ...rest], preferredCount: preferred.length, isRelay };
}

/** Rotates equally good candidates by a hash, to spread balancers over them. */
function rotated<Item>(items: readonly Item[], offset: number): Item[] {
  const start = items.length === 0 ? 0 : offset % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
