/**
 * @file Grants leases on a control machine, until `LEASE_DURATION_MS` after the start of the last round in which a quorum
 * confirmed that it leads. No later leader can have been elected before that start, so a new leader that waits for one
 * lease has outlasted all earlier grants.
 *
 * Each grant carries a floor index that only rises. An index is fenced once a lease and its margin have passed since the
 * last grant with a lower floor: every balancer then has the index in force or no lease.
 */
import { LEASE_DURATION_MS, LEASE_MARGIN_MS, type LeaseGrant } from './lease.js';

/** Time between two quorum rounds that confirm leadership; a small fraction of a lease. */
const QUORUM_CHECK_INTERVAL_MS = 500;
/** How long balancers have to apply a committed entry before grants require it. */
const FLOOR_DELAY_MS = 2_000;

/** A log index and when it was reached. */
interface TimedIndex {
  readonly index: number;
  readonly atMs: number;
}

/** The lease state of a control machine; times in milliseconds on its clock. */
export interface LeaseAuthority {
  /** The term that it leads; undefined for a follower. */
  term: number | undefined;
  /** When the last round that a quorum confirmed was started. */
  confirmedAtMs: number;
  /** The round in progress. */
  round: { readonly readId: number; readonly startedAtMs: number } | undefined;
  nextRoundAtMs: number;
  nextReadId: number;
  /** Commit indexes and when they were reached, oldest first, starting at the last floor. */
  commits: TimedIndex[];
  /** Floor indexes and when grants began to carry them, oldest first. */
  floors: TimedIndex[];
}

/** The leadership of this machine according to the consensus. */
interface LeadershipView {
  /** True for a leader whose commit index is up to date. */
  readonly isLeading: boolean;
  readonly term: number;
  readonly commitIndex: number;
  readonly nowMs: number;
}

/**
 * @returns the lease state of a follower
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
 * Follows changes of leadership, raises the floor and starts a quorum round when one is due.
 * @returns the ID of the read for a quorum to confirm, always negative; undefined if no round was started
 */
export function leaseAuthorityTick(
  authority: LeaseAuthority,
  view: LeadershipView,
): number | undefined {
  if (!view.isLeading) {
    stepDown(authority);
    return undefined;
  }
  if (authority.term !== view.term) {
    stepDown(authority);
    authority.term = view.term;
  }
  raiseFloor(authority, view);
  return startRound(authority, view.nowMs);
}

/**
 * Handles a quorum's confirmation of a read.
 * @returns true if the read was started by `leaseAuthorityTick`
 */
export function applyConfirmation(authority: LeaseAuthority, readId: number): boolean {
  if (authority.round?.readId === readId) {
    authority.confirmedAtMs = authority.round.startedAtMs;
    authority.round = undefined;
  }
  return readId < 0;
}

/**
 * @param askedAtMs when the balancer requested the lease, on its own clock
 * @returns the grant, or undefined if this machine may not grant one
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
 * @returns the highest fenced log index, which every balancer that holds a lease has in force; 0 if there is none
 */
export function fencedIndex(authority: LeaseAuthority, nowMs: number): number {
  const expiredBeforeMs = nowMs - LEASE_DURATION_MS - LEASE_MARGIN_MS;
  return authority.floors.findLast(({ atMs }) => atMs <= expiredBeforeMs)?.index ?? 0;
}

/**
 * @returns true once all leases granted by earlier leaders have expired
 */
export function haveEarlierLeasesExpired(authority: LeaseAuthority, nowMs: number): boolean {
  return fencedIndex(authority, nowMs) > 0;
}

function stepDown(authority: LeaseAuthority): void {
  const { nextReadId } = authority;
  Object.assign(authority, createLeaseAuthority(), { nextReadId });
}

function startRound(authority: LeaseAuthority, nowMs: number): number | undefined {
  if (nowMs < authority.nextRoundAtMs || authority.round !== undefined) {
    return undefined;
  }
  const readId = authority.nextReadId;
  authority.nextReadId -= 1;
  authority.nextRoundAtMs = nowMs + QUORUM_CHECK_INTERVAL_MS;
  authority.round = { readId, startedAtMs: nowMs };
  return readId;
}

function raiseFloor(authority: LeaseAuthority, { commitIndex, nowMs }: LeadershipView): void {
  const { commits, floors } = authority;
  if (commits.at(-1)?.index !== commitIndex) {
    commits.push({ index: commitIndex, atMs: nowMs });
  }
  // A new leader's first floor is its commit index, so that the floor never falls.
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

/** Keeps the newest fenced floor and the floors after it. */
function dropOldFloors(authority: LeaseAuthority, nowMs: number): void {
  const fenced = fencedIndex(authority, nowMs);
  authority.floors = authority.floors.filter(({ index }) => index >= fenced);
}
