/**
 * @file May a balancer use the addresses of its configuration? While its lease runs, yes: no address that it knows can have
 * joined another service. Once the lease has run out, a back end is used only as long as it has itself confirmed a moment ago
 * which back end it is.
 *
 * A lease is counted on the balancer's own clock from when the balancer asked for it, never from when the answer came: an
 * answer that waited in a buffer while the process was paused extends nothing. A balancer may pass on what is left of its
 * lease. Times are in milliseconds. Reasons and alternatives: docs/design/dissemination.md.
 */

/**
 * How long a lease runs, in milliseconds. Not measured; it delays the release of addresses by as long. Too short if
 * `amberlift_lease_held` falls to 0 during an election, which took about 1 s (docs/design/consensus.md).
 */
export const LEASE_DURATION_MS = 10_000;

/**
 * How far clocks may differ over one lease, in milliseconds: 5 %. Tests run clocks 1 % fast and slow; not measured on
 * machines.
 */
export const LEASE_MARGIN_MS = 500;

/**
 * How long a back end's confirmation of its identity holds, in milliseconds. Not measured; too short if `lease-expired` is
 * counted while the back end answers its probes. An address may be taken over within this time without being noticed here.
 */
export const IDENTITY_LIFETIME_MS = 3_000;

/** Extends a lease. */
export interface LeaseGrant {
  /** When the balancer asked, on its own clock, in milliseconds; echoed. */
  readonly askedAtMs: number;
  /** How much longer the lease runs, counted from `askedAtMs`. */
  readonly remainingMs: number;
  /** The grant holds only for a balancer that has this log index in force. */
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
 * Applies a grant where the balancer has in force what the grant requires.
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
 * @param identityConfirmedAtMs when the probe began that the back end last answered with the ID by which the balancer knows it
 * @returns true where packets may be sent to the back end
 */
export function mayUseBackend(lease: Lease, identityConfirmedAtMs: number, nowMs: number): boolean {
  return isLeaseHeld(lease, nowMs) || nowMs - identityConfirmedAtMs < IDENTITY_LIFETIME_MS;
}
