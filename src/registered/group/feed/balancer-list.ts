/**
 * @file Merges the balancers connected to all control machines into one list, and stores the zones of the other control
 * machines. Soft state: each machine sends its list every second.
 */
import type { BalancerInfo } from '../group-messages.js';

/** The balancers connected to any control machine. */
export interface BalancerList {
  /** The merged list as last published to the connected balancers, by name. */
  readonly published: ReadonlyMap<string, BalancerInfo>;
  /** Records that a balancer connected or disconnected here; the change is sent with the next tick. */
  recordLocalChange(): void;
  /**
   * Replaces the list and the zone of another control machine.
   * @param sender its link address as text
   * @returns true if its zone is new or has changed
   */
  applyPeerList(
    sender: string,
    zone: string,
    balancers: readonly BalancerInfo[],
    nowMs: number,
  ): boolean;
  /**
   * Removes the lists and zones of control machines whose lists have expired.
   * @returns true if there was one
   */
  removeSilentPeers(nowMs: number): boolean;
  /**
   * Publishes the current merged list.
   * @param listLocalBalancers returns the balancers connected here; called only if something has changed
   * @returns the names of balancers that were added, changed or removed since the last publication
   */
  publish(listLocalBalancers: () => BalancerInfo[]): string[];
  /** @returns true if the local list is to be sent to the other control machines now; schedules the next time */
  startSharing(nowMs: number): boolean;
  /** @returns the zone of another control machine; undefined if unknown */
  zoneOfControl(linkAddress: string): string | undefined;
  /** @returns true if another control machine runs in the zone */
  hasControlIn(zone: string): boolean;
}

/** The list of another control machine. */
interface PeerBalancers {
  readonly balancers: readonly BalancerInfo[];
  readonly receivedAtMs: number;
}

/** Changes are sent in the next tick; this bounds how long a newly started machine lacks the other lists. */
const SHARE_INTERVAL_MS = 1_000;
/** The list of a control machine expires after this time; tolerates three lost lists. */
const PEER_LIST_LIFETIME_MS = 4_000;

/** @returns an empty list */
export function createBalancerList(): BalancerList {
  const peers = new Map<string, PeerBalancers>();
  const controlZones = new Map<string, string>();
  let published: ReadonlyMap<string, BalancerInfo> = new Map();
  let isChanged = false;
  let nextShareAtMs = Number.NEGATIVE_INFINITY;

  return {
    get published() {
      return published;
    },
    recordLocalChange,
    applyPeerList,
    removeSilentPeers,
    publish,
    startSharing,
    zoneOfControl: (linkAddress) => controlZones.get(linkAddress),
    hasControlIn: (zone) => [...controlZones.values()].includes(zone),
  };

  function recordLocalChange(): void {
    isChanged = true;
    nextShareAtMs = Number.NEGATIVE_INFINITY;
  }

  function applyPeerList(
    sender: string,
    zone: string,
    balancers: readonly BalancerInfo[],
    nowMs: number,
  ): boolean {
    const isZoneNew = controlZones.get(sender) !== zone;
    controlZones.set(sender, zone);
    peers.set(sender, { balancers, receivedAtMs: nowMs });
    isChanged = true;
    return isZoneNew;
  }

  function removeSilentPeers(nowMs: number): boolean {
    const silent = [...peers].filter(
      ([, { receivedAtMs }]) => nowMs - receivedAtMs > PEER_LIST_LIFETIME_MS,
    );
    for (const [sender] of silent) {
      peers.delete(sender);
      isChanged = true;
      // Balancers prefer control machines in their own zone, so a silent one loses its zone.
      controlZones.delete(sender);
    }
    return silent.length > 0;
  }

  function publish(listLocalBalancers: () => BalancerInfo[]): string[] {
    if (!isChanged) {
      return [];
    }
    isChanged = false;
    const previous = published;
    const peerBalancers = [...peers.values()].flatMap(({ balancers }) => balancers);
    const all = new Map(
      [...listLocalBalancers(), ...peerBalancers].map((info) => [info.name, info]),
    );
    published = all;
    const addedOrChanged = [...all.values()].filter(
      (info) => !isSameBalancer(info, previous.get(info.name)),
    );
    const removed = [...previous.keys()].filter((name) => !all.has(name));
    return [...addedOrChanged.map(({ name }) => name), ...removed];
  }

  function startSharing(nowMs: number): boolean {
    if (nowMs < nextShareAtMs) {
      return false;
    }
    nextShareAtMs = nowMs + SHARE_INTERVAL_MS;
    return true;
  }
}

function isSameBalancer(one: BalancerInfo, other: BalancerInfo | undefined): boolean {
  return (
    one.zone === other?.zone &&
    one.peerAddress.host === other.peerAddress.host &&
    one.peerAddress.port === other.peerAddress.port
  );
}
