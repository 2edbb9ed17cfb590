/**
 * @file May this control machine grant a lease, and which log index is fenced? A leader grants leases that end
 * `LEASE_DURATION_MS` after the start of the last round in which a quorum confirmed that it leads. No later leader can have
 * been elected before that start, so a leader that waits out one lease after its election has outlived all that earlier
 * leaders granted.
 *
 * Each grant names a floor: the log index that a balancer must have in force to use it. The floor only rises. An index is
 * fenced once a lease and its margin have passed since the last grant below it: then every balancer has the index in force or
 * is past its lease, and no list of balancers is needed to know it.
 *
 * Inputs: what the consensus knows of this machine's leadership, and its clock in milliseconds. Owns `LeaseAuthority`.
 */
import { LEASE_DURATION_MS, LEASE_MARGIN_MS, type LeaseGrant } from './lease.js';

/** Time between two rounds that confirm leadership, in milliseconds: a small part of a lease. Not measured. */
const CONFIRM_INTERVAL_MS = 500;
/**
 * How long a balancer may take to get an entry in force before grants require it, in milliseconds. Not measured; too
 * short if leases run out after changes.
 */
const FLOOR_DELAY_MS = 2_000;

/** A log index at a time. */
interface IndexAt {
  readonly index: number;
  readonly atMs: number;
}

/** The leadership of a control machine, for leases; times on its own clock, in milliseconds. */
export interface LeaseAuthority {
  /** The term that it leads; undefined where it does not. */
  term: number | undefined;
  /** Start of the last round that a quorum confirmed. */
  confirmedAtMs: number;
  /** The round in progress. */
  round: { readonly readId: number; readonly startedAtMs: number } | undefined;
  nextRoundAtMs: number;
  nextReadId: number;
  /** Commit indexes by when they were reached, oldest first, none older than the next floor. */
  commits: IndexAt[];
  /** Each floor and when the first grant with it could be made, oldest first. */
  floors: IndexAt[];
}

/** What the consensus knows of this machine. */
interface LeadershipView {
  /** True for a leader that knows what is committed. */
  readonly isLeading: boolean;
  readonly term: number;
  readonly commitIndex: number;
  readonly nowMs: number;
}

/**
 * @returns the authority of a machine that does not lead
 */
export function createLeaseAuthority(): LeaseAuthority {
  return {
    term: undefined,
    confirmedAtMs: Number.NEGATIVE_INFINITY,
    round: undefined,
    nextRoundAtMs: 0,
    nextReadId: -1,
    commits: [],
    floors: [],
  };
}

/**
 * Follows the consensus; raises the floor.
 * @returns the ID of a read that should be confirmed by a quorum now; always negative
 */
export function leaseAuthorityTick(
  authority: LeaseAuthority,
  view: LeadershipView,
): number | undefined {
  if (!view.isLeading) {
    resign(authority);
    return undefined;
  }
  if (authority.term !== view.term) {
    resign(authority);
    authority.term = view.term;
  }
  raiseFloor(authority, view);
  return startRound(authority, view.nowMs);
}

/**
 * Applies that a quorum has confirmed a read.
 * @returns true where the read was one of this authority's
 */
export function applyConfirmation(authority: LeaseAuthority, readId: number): boolean {
  if (authority.round?.readId === readId) {
    authority.confirmedAtMs = authority.round.startedAtMs;
    authority.round = undefined;
  }
  return readId < 0;
}

/**
 * @param askedAtMs when the balancer asked, on its own clock
 * @returns the grant, or undefined where this machine may not give one
 */
export function grantLease(
  authority: LeaseAuthority,
  askedAtMs: number,
  nowMs: number,
): LeaseGrant | undefined {
  const floorIndex = authority.floors.at(-1)?.index;
  const remainingMs = authority.confirmedAtMs + LEASE_DURATION_MS - nowMs;
  return floorIndex === undefined || remainingMs <= 0
    ? undefined
    : { askedAtMs, remainingMs, floorIndex };
}

/**
 * @returns the log index that every balancer has in force or is past its lease
 */
export function fencedIndex(authority: LeaseAuthority, nowMs: number): number {
  const lastExpiredMs = nowMs - LEASE_DURATION_MS - LEASE_MARGIN_MS;
  return authority.floors.findLast(({ atMs }) => atMs <= lastExpiredMs)?.index ?? 0;
}

/**
 * @returns true once every balancer that holds a lease has reported to this leader
 */
export function hasOutlivedEarlierLeases(authority: LeaseAuthority, nowMs: number): boolean {
  return fencedIndex(authority, nowMs) > 0;
}

function resign(authority: LeaseAuthority): void {
  const { nextReadId } = authority;
  Object.assign(authority, createLeaseAuthority(), { nextReadId });
}

function startRound(authority: LeaseAuthority, nowMs: number): number | undefined {
  if (nowMs < authority.nextRoundAtMs || authority.round !== undefined) {
    return undefined;
  }
  const readId = authority.nextReadId;
  authority.nextReadId -= 1;
  authority.nextRoundAtMs = nowMs + CONFIRM_INTERVAL_MS;
  authority.round = { readId, startedAtMs: nowMs };
  return readId;
}

function raiseFloor(authority: LeaseAuthority, { commitIndex, nowMs }: LeadershipView): void {
  const { commits, floors } = authority;
  if (commits.at(-1)?.index !== commitIndex) {
    commits.push({ index: commitIndex, atMs: nowMs });
  }
  // A new leader's first floor is all that was committed before, so that none ever falls.
  const isFirst = floors.length === 0;
  const last = isFirst
    ? commits.at(-1)
    : commits.findLast(({ atMs }) => atMs <= nowMs - FLOOR_DELAY_MS);
  if (last === undefined || last.index <= (floors.at(-1)?.index ?? -1)) {
    return;
  }
  floors.push({ index: last.index, atMs: nowMs });
  authority.commits = commits.slice(commits.indexOf(last));
  dropOldFloors(authority, nowMs);
}

/** Keeps the newest floor that is fenced and those after it. */
function dropOldFloors(authority: LeaseAuthority, nowMs: number): void {
  const fenced = fencedIndex(authority, nowMs);
  authority.floors = authority.floors.filter(({ index }) => index >= fenced);
}
