/**
 * @file Leases on the configuration. While a balancer holds one, none of its back end addresses is reassigned to another
 * service; after it expires, only back ends that have just confirmed their identity are used.
 *
 * A lease starts when the balancer requests it, on the balancer's clock, not when the grant arrives: a grant that was
 * buffered while the process was paused extends nothing.
 */

/**
 * How long a lease lasts. Must outlast a leader election; the release of an address is delayed by as long.
 */
export const LEASE_DURATION_MS = 10_000;

/**
 * How far two clocks may drift apart over one lease: 5 % of its duration.
 */
export const LEASE_MARGIN_MS = 500;

/**
 * How long a back end's confirmation of its identity is valid without a lease. Must outlast the probe interval; a
 * reassigned address may go unnoticed for as long.
 */
export const IDENTITY_LIFETIME_MS = 3_000;

/** A grant that extends a lease. */
export interface LeaseGrant {
  /** When the balancer requested it, in milliseconds on that balancer's clock; echoed. */
  readonly askedAtMs: number;
  /** How long the lease lasts, in milliseconds from `askedAtMs`. */
  readonly remainingMs: number;
  /** The grant is valid only for a balancer that has this log index in force. */
  readonly floorIndex: number;
}

/** The lease of a balancer. */
export interface Lease {
  /** In milliseconds on the balancer's clock. */
  expiresAtMs: number;
  /** The `floorIndex` of the last grant. */
  floorIndex: number;
}

/**
 * @returns a lease that was never granted
 */
export function expiredLease(): Lease {
  return { expiresAtMs: Number.NEGATIVE_INFINITY, floorIndex: 0 };
}

/**
 * @returns true until the lease expires
 */
export function isLeaseHeld(lease: Lease, nowMs: number): boolean {
  return nowMs < lease.expiresAtMs;
}

/**
 * Applies a grant if the balancer has reached its floor index and the grant extends the lease.
 * @param indexInForce the balancer's log index in force
 * @returns true if the lease was extended
 */
export function applyGrant(lease: Lease, grant: LeaseGrant, indexInForce: number): boolean {
  const expiresAtMs = grant.askedAtMs + Math.min(grant.remainingMs, LEASE_DURATION_MS);
  if (indexInForce < grant.floorIndex || expiresAtMs <= lease.expiresAtMs) {
    return false;
  }
  lease.expiresAtMs = expiresAtMs;
  lease.floorIndex = grant.floorIndex;
  return true;
}

/**
 * Grants the remaining time of a balancer's own lease to another balancer.
 * @param askedAtMs when the other balancer requested it, on that balancer's clock
 * @returns the grant, or undefined if the lease has expired
 */
export function delegateLease(
  lease: Lease,
  askedAtMs: number,
  nowMs: number,
): LeaseGrant | undefined {
  const remainingMs = lease.expiresAtMs - nowMs;
  return remainingMs > 0 ? { askedAtMs, remainingMs, floorIndex: lease.floorIndex } : undefined;
}

/**
 * @param identityConfirmedAtMs start of the last probe that the back end answered with its expected ID
 * @returns true if packets may be sent to the back end
 */
export function mayUseBackend(lease: Lease, identityConfirmedAtMs: number, nowMs: number): boolean {
  return isLeaseHeld(lease, nowMs) || nowMs - identityConfirmedAtMs < IDENTITY_LIFETIME_MS;
}
