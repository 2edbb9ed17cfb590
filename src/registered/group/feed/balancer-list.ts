/**
 * @file Which balancers there are, and in which zones the other control machines run. It owns the lists that the other
 * control machines send of the balancers that they feed, and the joined list that the balancers fed here know of. Soft
 * state: lists are sent again every second.
 */
import type { BalancerInfo } from '../group-messages.js';

/** The balancers that all control machines feed. */
export interface BalancerList {
  /** The balancers that subscribers know of, by their names. */
  readonly published: ReadonlyMap<string, BalancerInfo>;
  /** A balancer came or went here: subscribers and other control machines learn of it with the next tick. */
  recordOwnChange(): void;
  /**
   * Replaces the list of another control machine.
   * @param sender its link address as text
   * @returns true where its zone was not known
   */
  applyPeerList(
    sender: string,
    zone: string,
    balancers: readonly BalancerInfo[],
    nowMs: number,
  ): boolean;
  /**
   * Forgets control machines that have been silent for long, with their balancers and zones.
   * @returns true where there was one
   */
  forgetSilentPeers(nowMs: number): boolean;
  /**
   * Publishes all balancers that are known now.
   * @param own those that are fed here
   * @returns the names of those that came, went, or moved since they were published last
   */
  publish(own: () => BalancerInfo[]): string[];
  /** @returns true where the own list is to be sent to the other control machines now; the next time is set */
  startSharing(nowMs: number): boolean;
  /** @returns where another control machine runs; undefined while that is not known */
  zoneOfControl(linkAddress: string): string | undefined;
  /** @returns true where another control machine runs in a zone */
  hasControlIn(zone: string): boolean;
}

/** The balancers that another control machine feeds. */
interface PeerBalancers {
  readonly balancers: readonly BalancerInfo[];
  readonly receivedAtMs: number;
}

/**
 * Time between two lists of balancers to the other control machines. Not measured; changes are sent at once, so it
 * only bounds how long a machine that has just started lacks the others' lists.
 */
const SHARE_BALANCERS_INTERVAL_MS = 1_000;
/**
 * A list of another control machine counts for so long: three may be lost. Not measured; too short would show as
 * balancers that come and go in `lostBalancers` while a control machine is cut off, too long as opens that are copied
 * to balancers that are gone.
 */
const BALANCERS_LIFETIME_MS = 4_000;

/** @returns a list without any balancer */
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
    recordOwnChange,
    applyPeerList,
    forgetSilentPeers,
    publish,
    startSharing,
    zoneOfControl: (linkAddress) => controlZones.get(linkAddress),
    hasControlIn: (zone) => [...controlZones.values()].includes(zone),
  };

  function recordOwnChange(): void {
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

  function forgetSilentPeers(nowMs: number): boolean {
    const silent = [...peers].filter(
      ([, { receivedAtMs }]) => nowMs - receivedAtMs > BALANCERS_LIFETIME_MS,
    );
    for (const [sender] of silent) {
      peers.delete(sender);
      isChanged = true;
      // Without a zone no balancer prefers a machine that may be gone.
      controlZones.delete(sender);
    }
    return silent.length > 0;
  }

  function publish(own: () => BalancerInfo[]): string[] {
    if (!isChanged) {
      return [];
    }
    isChanged = false;
    const before = published;
    const fedByPeers = [...peers.values()].flatMap(({ balancers }) => balancers);
    const all = new Map([...own(), ...fedByPeers].map((info) => [info.name, info]));
    published = all;
    const came = [...all.values()].filter((info) => !isSameBalancer(info, before.get(info.name)));
    const lost = [...before.keys()].filter((name) => !all.has(name));
    return [...came.map(({ name }) => name), ...lost];
  }

  function startSharing(nowMs: number): boolean {
    if (nowMs < nextShareAtMs) {
      return false;
    }
    nextShareAtMs = nowMs + SHARE_BALANCERS_INTERVAL_MS;
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
