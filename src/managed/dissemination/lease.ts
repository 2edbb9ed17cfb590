/**
 * @file A balancer's lease, and what a balancer may do without one. While the lease runs, no address
 * that a balancer knows can have joined another service. Once it has run out, a back end is used only
 * as long as it has itself confirmed a moment ago which back end it is.
 *
 * A lease is counted on the balancer's own clock from the moment when the balancer asked for it, never
 * from when the answer came: an answer that waited in a buffer while the process was paused extends
 * nothing. Whoever holds a lease may pass on what is left of it.
 */

/** How long a lease runs, in milliseconds. */
export const LEASE_DURATION_MS = 10_000;

/** What clocks may differ by over one lease, at most, in milliseconds; five percent. */
export const LEASE_MARGIN_MS = 500;

/** How long a back end's own word holds on which back end it is, in milliseconds. */
export const IDENTITY_LIFETIME_MS = 3_000;

/** Extends a lease. */
export interface LeaseGrant {
  /** When the balancer asked, on its own clock, in milliseconds; echoed. */
  readonly askedAtMs: number;
  /** How much longer the lease runs, counted from `askedAtMs`. */
  readonly remainingMs: number;
  /** Only for a balancer that has this log index in force. */
  readonly floorIndex: number;
}

/** The lease of a balancer. */
export interface Lease {
  /** On the balancer's own clock, in milliseconds. */
  expiresAtMs: number;
  /** Log index that the holder had to have in force. */
  floorIndex: number;
}

/**
 * @returns a lease that has run out
 */
export function expiredLease(): Lease {
  return { expiresAtMs: Number.NEGATIVE_INFINITY, floorIndex: 0 };
}

/**
 * @returns true while the lease runs
 */
export function isLeaseHeld(lease: Lease, nowMs: number): boolean {
  return nowMs < lease.expiresAtMs;
}

/**
 * Takes a grant, where the balancer has in force what the grant asks for.
 * @param positionIndex the log index in force
 * @returns true where it extended the lease
 */
export function applyGrant(lease: Lease, grant: LeaseGrant, positionIndex: number): boolean {
  const expiresAtMs = grant.askedAtMs + Math.min(grant.remainingMs, LEASE_DURATION_MS);
  if (positionIndex < grant.floorIndex || expiresAtMs <= lease.expiresAtMs) {
    return false;
  }
  lease.expiresAtMs = expiresAtMs;
  lease.floorIndex = grant.floorIndex;
  return true;
}

/**
 * @param askedAtMs when the other balancer asked, on its own clock
 * @returns what is left of this lease, for another balancer; undefined where nothing is left
 */
export function passOnLease(
  lease: Lease,
  askedAtMs: number,
  nowMs: number,
): LeaseGrant | undefined {
  const remainingMs = lease.expiresAtMs - nowMs;
  return remainingMs > 0 ? { askedAtMs, remainingMs, floorIndex: lease.floorIndex } : undefined;
}

/**
 * @param identityConfirmedAtMs when the balancer asked the back end what it last answered to with
 *   the ID by which the balancer knows it
 * @returns true where packets may be sent to the back end
 */
export function mayUseBackend(lease: Lease, identityConfirmedAtMs: number, nowMs: number): boolean {
  return isLeaseHeld(lease, nowMs) || nowMs - identityConfirmedAtMs < IDENTITY_LIFETIME_MS;
}
