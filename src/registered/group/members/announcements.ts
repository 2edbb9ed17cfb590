/**
 * @file Which machines ask to be admitted to the group, and where machines outside of it are reached. It owns the
 * announcements that came in here, the time of this machine's own next one, and the addresses at which it looks for the
 * group. All of it is soft state: machines announce themselves until they are admitted.
 */
import type { Address } from '../../../shared/common/address.js';
import type { NodeId } from '../../../shared/consensus/membership.js';

/** A machine that asks to be admitted. */
export interface Announcement {
  readonly nodeId: NodeId;
  readonly storageId: string;
  readonly linkAddress: Address;
  readonly announcedAtMs: number;
}

/** Announcements, own and others'. */
export interface Announcements {
  /** Where this machine looks for the group. */
  readonly seeds: readonly Address[];
  /** True once this machine is about to stop; it announces itself no more. */
  readonly isStopping: boolean;
  /** Looks for the group at other addresses from now on. */
  setSeeds(seeds: readonly Address[]): void;
  stop(): void;
  /** @returns true where this machine may announce itself again; the next time is an interval later */
  startSending(nowMs: number): boolean;
  record(announcement: Announcement): void;
  /**
   * Forgets announcements that are too old or whose sender is a member by now.
   * @returns the oldest of the others
   */
  firstCandidate(nowMs: number, isMember: (nodeId: NodeId) => boolean): Announcement | undefined;
  /** Records where a sender of consensus messages is reached; it may not be a member here yet. */
  recordReplyAddress(nodeId: NodeId, address: Address): void;
  replyAddressOf(nodeId: NodeId): Address | undefined;
}

/**
 * Time between two announcements of one machine. Not measured; too long would show as a machine with an empty disk
 * that gets its vote late, too short as traffic of machines that find no group.
 */
const ANNOUNCE_INTERVAL_MS = 300;
/**
 * An announcement counts for five intervals, so that four in a row may be lost. Not measured; too long would show as
 * learners that are added after they have ended, and removed again.
 */
const ANNOUNCEMENT_LIFETIME_MS = 1_500;

/** @returns announcements of a machine that has just started */
export function createAnnouncements(firstSeeds: readonly Address[]): Announcements {
  const announced = new Map<NodeId, Announcement>();
  const replyAddresses = new Map<NodeId, Address>();
  let seeds = firstSeeds;
  let isStopping = false;
  let nextAnnounceAtMs = Number.NEGATIVE_INFINITY;

  return {
    get seeds() {
      return seeds;
    },
    get isStopping() {
      return isStopping;
    },
    setSeeds: (next) => {
      seeds = next;
    },
    stop: () => {
      isStopping = true;
    },
    startSending,
    record: (announcement) => void announced.set(announcement.nodeId, announcement),
    firstCandidate,
    recordReplyAddress: (nodeId, address) => void replyAddresses.set(nodeId, address),
    replyAddressOf: (nodeId) => replyAddresses.get(nodeId),
  };

  function startSending(nowMs: number): boolean {
    if (isStopping || nowMs < nextAnnounceAtMs) {
      return false;
    }
    nextAnnounceAtMs = nowMs + ANNOUNCE_INTERVAL_MS;
    return true;
  }

  function firstCandidate(
    nowMs: number,
    isMember: (nodeId: NodeId) => boolean,
  ): Announcement | undefined {
    for (const [nodeId, announcement] of announced) {
      if (!isMember(nodeId) && nowMs - announcement.announcedAtMs <= ANNOUNCEMENT_LIFETIME_MS) {
        return announcement;
      }
      announced.delete(nodeId);
    }
    return undefined;
  }
}
