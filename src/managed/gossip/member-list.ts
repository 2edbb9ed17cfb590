/**
 * @file The members of a zone as one balancer knows them, and the updates that it still has to send to others. Owns
 * `MemberList`; a record is replaced only by later knowledge (`member.ts`).
 */
import { hashText } from '../../shared/common/rendezvous.js';
import { isPresent, supersedes, type MemberRecord, type MemberStatus } from './member.js';

/** Each update is sent this many times the logarithm of the number of members, as in SWIM. Not measured. */
const SPREAD_FACTOR = 3;

/** A member as this balancer knows it. */
interface KnownMember {
  record: MemberRecord;
  /** Since when the status is what it is, in milliseconds. */
  changedAtMs: number;
}

/** An update that is being spread. */
interface PendingUpdate {
  sentCount: number;
}

/** The members of a zone, without the balancer itself. */
export interface MemberList {
  readonly members: Map<string, KnownMember>;
  /** By member ID; the record is the list's. */
  readonly pendingUpdates: Map<string, PendingUpdate>;
  /** Combines the hashes of all records, whatever their order. */
  digest: number;
  /** Counts the changes of who is present or where; dependants recompute when it differs. */
  version: number;
}

/**
 * @returns a list without members
 */
export function createMemberList(): MemberList {
  return { members: new Map(), pendingUpdates: new Map(), digest: 0, version: 0 };
}

/**
 * Applies a record where it is later knowledge.
 * @returns true where it was applied
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
 * Changes what is believed of a member, at the incarnation that is known.
 */
export function setStatus(list: MemberList, id: string, status: MemberStatus, nowMs: number): void {
  const known = list.members.get(id);
  if (known !== undefined) {
    applyRecord(list, { ...known.record, status }, nowMs);
  }
}

/**
 * Forgets a member.
 */
export function forgetMember(list: MemberList, id: string): void {
  const known = list.members.get(id);
  if (known !== undefined) {
    list.members.delete(id);
    list.pendingUpdates.delete(id);
    list.digest = (list.digest ^ recordHash(known.record)) >>> 0;
  }
}

/**
 * @returns the members that may still take part
 */
export function presentMembers(list: MemberList): MemberRecord[] {
  return [...list.members.values()].map(({ record }) => record).filter(isPresent);
}

/**
 * Chooses the updates that were sent least often, and counts them as sent once more.
 * @param first a member whose record goes first, such as the receiver, so that it may refute it
 */
export function nextUpdates(list: MemberList, bound: number, first?: string): MemberRecord[] {
  const limit = SPREAD_FACTOR * Math.ceil(Math.log2(list.members.size + 2));
  const urgent = first !== undefined && isNotAlive(list, first) ? [first] : [];
  const rest = [...list.pendingUpdates]
    .filter(([id]) => id !== urgent[0])
    .sort(([, one], [, other]) => one.sentCount - other.sentCount)
    .map(([id]) => id);
  const ids = [...urgent, ...rest].slice(0, bound);
  ids.forEach((id) => countSent(list, id, limit));
  return ids.flatMap((id) => list.members.get(id)?.record ?? []);
}

/**
 * @returns the part of a record in digests; it differs where incarnation or presence differ
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

function countSent(list: MemberList, id: string, limit: number): void {
  const update = list.pendingUpdates.get(id);
  if (update === undefined) {
    return;
  }
  update.sentCount += 1;
  if (update.sentCount >= limit) {
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
