/**
 * @file Announcements of machines that ask to join the group, the schedule of this machine's own ones, the seeds that it
 * sends them to, and reply addresses of machines that are not members. Soft state: machines announce themselves until
 * they are admitted.
 */
import type { Address } from '../../../shared/common/address.js';
import type { NodeId } from '../../../shared/consensus/membership.js';

/** A request of a machine to join the group. */
export interface Announcement {
  readonly nodeId: NodeId;
  readonly storageId: string;
  readonly linkAddress: Address;
  readonly announcedAtMs: number;
}

/** Announcements sent and received. */
export interface Announcements {
  /** Addresses at which this machine looks for the group. */
  readonly seeds: readonly Address[];
  /** True once this machine is stopping; it sends no announcements then. */
  readonly isStopping: boolean;
  /** Replaces the seeds. */
  setSeeds(seeds: readonly Address[]): void;
  stop(): void;
  /** @returns true if an announcement is due; the next one is due an interval later */
  takeDue(nowMs: number): boolean;
  record(announcement: Announcement): void;
  /**
   * Removes announcements that have expired or whose sender is a member.
   * @returns the oldest remaining one
   */
  firstCandidate(nowMs: number, isMember: (nodeId: NodeId) => boolean): Announcement | undefined;
  /** Records the address of a sender of consensus messages, which may not be a member yet. */
  recordReplyAddress(nodeId: NodeId, address: Address): void;
  replyAddressOf(nodeId: NodeId): Address | undefined;
}

const ANNOUNCE_INTERVAL_MS = 300;
/** Five intervals, so that four announcements in a row may be lost. */
const ANNOUNCEMENT_LIFETIME_MS = 1_500;

/** @returns the state after a start */
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
    takeDue,
    record: (announcement) => void announced.set(announcement.nodeId, announcement),
    firstCandidate,
    recordReplyAddress: (nodeId, address) => void replyAddresses.set(nodeId, address),
    replyAddressOf: (nodeId) => replyAddresses.get(nodeId),
  };

  function takeDue(nowMs: number): boolean {
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
