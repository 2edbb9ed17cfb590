/**
 * @file Contact with the other control machines, from the numbers in their heartbeat messages. A heartbeat counts as
 * missing only while every machine that may have received it is in unbroken contact; a lost or late message, a pause of
 * this machine and a change of members begin the contact anew.
 */

/** Contact with the other control machines. */
export interface PeerContact {
  /** Records a numbered message of another machine. */
  record(sender: string, sequence: number, nowMs: number): void;
  /** Called with each tick, with the addresses of the other machines. */
  watch(members: readonly string[], nowMs: number): void;
  /** Begins the contact anew, since heartbeats may have been missed. */
  restart(nowMs: number): void;
  /** @returns true if no heartbeat can have been missed for longer than a living back end is silent */
  isUnbroken(nowMs: number): boolean;
  /** @returns true while messages that waited through a pause of this machine may still be read */
  hasPausedWithin(periodMs: number, nowMs: number): boolean;
  /** @returns true if the other machines need a message to see that this one is in contact */
  isMessageDue(nowMs: number): boolean;
  /** @returns the number of the next message, which is recorded as sent */
  takeSequence(nowMs: number): number;
}

interface Peer {
  readonly sequence: number;
  readonly receivedAtMs: number;
  readonly sinceMs: number;
}

/** Well below the quarter of an interval after which a heartbeat is overdue. */
const MAX_GAP_INTERVALS = 0.2;
/** Two messages fit into the longest gap. */
const MESSAGE_INTERVALS = 0.08;
/** A heartbeat is overdue after one and a quarter; one more for back ends that had to turn to another machine. */
const MIN_CONTACT_INTERVALS = 2.25;

/** @returns contact with no other machine, begun at the first tick */
export function createPeerContact(heartbeatIntervalMs: number): PeerContact {
  const maxGapMs = MAX_GAP_INTERVALS * heartbeatIntervalMs;
  const peers = new Map<string, Peer>();
  let members: readonly string[] = [];
  let [sinceMs, watchedAtMs, pausedAtMs, sentAtMs] = [Infinity, -Infinity, -Infinity, -Infinity];
  let sequence = 0;

  return {
    record: (sender, received, nowMs) => {
      const before = peers.get(sender);
      const isNext = before?.sequence === received - 1 && nowMs - before.receivedAtMs <= maxGapMs;
      const peerSinceMs = isNext ? before.sinceMs : nowMs;
      peers.set(sender, { sequence: received, receivedAtMs: nowMs, sinceMs: peerSinceMs });
    },
    watch: (newMembers, nowMs) => {
      if (hasPaused(nowMs)) {
        pausedAtMs = nowMs;
        sequence += 1;
      }
      const isFirst = watchedAtMs === -Infinity;
      if (isFirst || hasPaused(nowMs) || newMembers.join() !== members.join()) {
        sinceMs = nowMs;
        members = newMembers;
        removeOthers();
      }
      watchedAtMs = nowMs;
    },
    restart: (nowMs) => {
      sinceMs = nowMs;
      // The others see an omitted number, too.
      sequence += 1;
    },
    isUnbroken: (nowMs) =>
      !hasPaused(nowMs) && isLongEnough(sinceMs, nowMs) && members.every(isInContact(nowMs)),
    hasPausedWithin: (periodMs, nowMs) => hasPaused(nowMs) || nowMs - pausedAtMs <= periodMs,
    isMessageDue: (nowMs) => nowMs - sentAtMs >= MESSAGE_INTERVALS * heartbeatIntervalMs,
    takeSequence: (nowMs) => {
      sentAtMs = nowMs;
      return ++sequence;
    },
  };

  function hasPaused(nowMs: number): boolean {
    return watchedAtMs !== -Infinity && nowMs - watchedAtMs > maxGapMs;
  }

  function isLongEnough(beganAtMs: number, nowMs: number): boolean {
    return nowMs - beganAtMs >= MIN_CONTACT_INTERVALS * heartbeatIntervalMs;
  }

  function isInContact(nowMs: number) {
    return (member: string): boolean => {
      const peer = peers.get(member);
      return (
        peer !== undefined &&
        nowMs - peer.receivedAtMs <= maxGapMs &&
        isLongEnough(peer.sinceMs, nowMs)
      );
    };
  }

  function removeOthers(): void {
    for (const peer of peers.keys()) {
      if (!members.includes(peer)) {
        peers.delete(peer);
      }
    }
  }
}
