/**
 * @file The member list of a zone and the queue of membership updates that are still to be gossiped. A record is
 * replaced only by a newer one.
 */
import { hashText } from '../../shared/common/rendezvous.js';
import { isPresent, supersedes, type MemberRecord, type MemberStatus } from './member.js';

/** Each update is sent this many times log2 of the member count, as in SWIM. */
const RETRANSMIT_FACTOR = 3;

/** A member's latest record. */
interface MemberEntry {
  record: MemberRecord;
  /** When the record was last replaced, in milliseconds. */
  changedAtMs: number;
}

/** An update that is still being gossiped. */
interface PendingUpdate {
  sentCount: number;
}

/** The members of a zone other than the balancer itself. */
export interface MemberList {
  readonly members: Map<string, MemberEntry>;
  /** By member ID; the record is looked up in `members` when the update is sent. */
  readonly pendingUpdates: Map<string, PendingUpdate>;
  /** XOR of the hashes of all records. */
  digest: number;
  /** Incremented when a member joins, leaves or changes its address, or a new zone appears; dependants recompute. */
  version: number;
}

/**
 * @returns an empty list
 */
export function createMemberList(): MemberList {
  return { members: new Map(), pendingUpdates: new Map(), digest: 0, version: 0 };
}

/**
 * Applies a record if it is newer than the known one.
 * @returns true if it was applied
 */
export function applyRecord(list: MemberList, record: MemberRecord, nowMs: number): boolean {
  const known = list.members.get(record.id);
  if (known !== undefined && !supersedes(record, known.record)) {
    return false;
  }
  const before = known?.record;
  list.members.set(record.id, { record, changedAtMs: nowMs });
  list.pendingUpdates.set(record.id, { sentCount: 0 });
  list.digest = (list.digest ^ recordHash(before) ^ recordHash(record)) >>> 0;
  if (changesPresence(before, record)) {
    list.version += 1;
  }
  return true;
}

/**
 * Sets the status of a member within its known incarnation.
 */
export function setStatus(list: MemberList, id: string, status: MemberStatus, nowMs: number): void {
  const known = list.members.get(id);
  if (known !== undefined) {
    applyRecord(list, { ...known.record, status }, nowMs);
  }
}

/**
 * Removes a member and its pending update.
 */
export function removeMember(list: MemberList, id: string): void {
  const known = list.members.get(id);
  if (known !== undefined) {
    list.members.delete(id);
    list.pendingUpdates.delete(id);
    list.digest = (list.digest ^ recordHash(known.record)) >>> 0;
  }
}

/**
 * @returns the members that are alive or only suspected
 */
export function presentMembers(list: MemberList): MemberRecord[] {
  return [...list.members.values()].map(({ record }) => record).filter(isPresent);
}

/**
 * Takes the updates that were sent least often, and counts one more transmission of each.
 * @param firstId a member whose record goes first unless it is alive: the receiver, so that it can refute a suspicion
 */
export function nextUpdates(list: MemberList, maxCount: number, firstId?: string): MemberRecord[] {
  const maxTransmissions = RETRANSMIT_FACTOR * Math.ceil(Math.log2(list.members.size + 2));
  const urgent = firstId !== undefined && isNotAlive(list, firstId) ? [firstId] : [];
  const rest = [...list.pendingUpdates]
    .filter(([id]) => id !== urgent[0])
    .sort(([, one], [, other]) => one.sentCount - other.sentCount)
    .map(([id]) => id);
  const ids = [...urgent, ...rest].slice(0, maxCount);
  ids.forEach((id) => recordTransmission(list, id, maxTransmissions));
  return ids.flatMap((id) => list.members.get(id)?.record ?? []);
}

/**
 * @returns the hash of the ID and incarnation; 0 for a member that is dead, has left or is unknown
 */
export function recordHash(record: MemberRecord | undefined): number {
  if (record === undefined || !isPresent(record)) {
    return 0;
  }
  return hashText(`${record.id}/${record.incarnation}`);
}

function isNotAlive(list: MemberList, id: string): boolean {
  const known = list.members.get(id);
  return known !== undefined && known.record.status !== 'alive';
}

function recordTransmission(list: MemberList, id: string, maxTransmissions: number): void {
  const update = list.pendingUpdates.get(id);
  if (update === undefined) {
    return;
  }
  update.sentCount += 1;
  if (update.sentCount >= maxTransmissions) {
    list.pendingUpdates.delete(id);
  }
}

function changesPresence(before: MemberRecord | undefined, after: MemberRecord): boolean {
  const wasPresent = before !== undefined && isPresent(before);
  const moved =
    before?.host !== after.host ||
    before.gossipPort !== after.gossipPort ||
    before.linkPort !== after.linkPort;
  return wasPresent !== isPresent(after) || (isPresent(after) && moved);
}
