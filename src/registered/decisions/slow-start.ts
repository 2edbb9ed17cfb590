/**
 * @file Limits the new flows that cold back ends get: those that have just started, or whose zone was just
 * readmitted. Each balancer takes an equal part of the rate and needs no coordination per flow; the remainder
 * goes to balancers chosen by rendezvous hashing. A balancer whose feed is not current admits none. Flows that were
 * placed while a back end was warm, or at its start before, may arrive when it is cold and count as well.
 */
import type { Address } from '../../shared/common/address.js';
import { createExpiringMap } from '../../shared/common/expiring-map.js';
import type { ServiceWarmUp } from '../declared/declared-config.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { PeerTable } from '../ingress/peer-table.js';
import type { ZoneTable } from '../ingress/zone-table.js';

/** Limit on new flows per second to a cold back end, over all balancers. */
export interface SlowStartBounds {
  /** Multiple of the rate that the service declares for a cold back end. */
  readonly excess: number;
  /** Flows per second on top of that multiple. */
  readonly slackPerS: number;
}

interface SlowStartOptions {
  /** Undefined if the deployment sets no limit: cold back ends then only count as busier. */
  readonly bounds: SlowStartBounds | undefined;
  /** Time between two heartbeats of a back end. */
  readonly heartbeatIntervalMs: number;
  readonly zones: ZoneTable;
  readonly peers: PeerTable;
  /** @returns the warm-up settings of a service; undefined if its back ends are never cold */
  readonly warmUpOf: (service: string) => ServiceWarmUp | undefined;
  /** @returns true if the feed is current, so that the list of balancers is too */
  readonly isFeedCurrent: (nowMs: number) => boolean;
}

/** Slow start at one balancer. */
export interface SlowStart {
  isCold(backend: KnownBackend, nowMs: number): boolean;
  /** @returns true if a back end is warm, or within its limit at this balancer */
  admits(backend: KnownBackend, nowMs: number): boolean;
  /** Records that a new flow was placed at a back end. */
  recordPlacement(backend: KnownBackend, nowMs: number): void;
}

/**
 * Two balancers may briefly have different lists of balancers, or one is cut off and does not know it yet; with half of the rate,
 * the limits by both lists together stay within it. This refuses opens that would fit if all back ends are cold at once.
 */
const ADMITTED_RATE_SHARE = 0.5;
/** Heartbeats that arrive sooner after a readmission may have been sent before it, to a machine that did not answer. */
const READMISSION_GRACE_INTERVALS = 2;
/** A second, plus the jitter of two datagrams on a full link. */
const ADMISSION_WINDOW_MS = 1_200;
/** Bounds the memory; flows placed at further new back ends of the same window are not counted. */
export const MAX_COUNTED_BACKENDS = 20_000;

/** Flows of the last window that were placed at one address of a back end, over all its starts. */
interface RecentPlacements {
  readonly address: Address;
  /** The newest times, as many as the limit of the fleet. */
  readonly timesMs: readonly number[];
}

/** @returns slow start without any admitted flow */
export function createSlowStart(options: SlowStartOptions): SlowStart {
  const { bounds, zones, peers, warmUpOf, isFeedCurrent } = options;
  /** By back end name. */
  const placements = createExpiringMap<string, RecentPlacements>({
    periodMs: ADMISSION_WINDOW_MS,
    maxEntries: MAX_COUNTED_BACKENDS,
  });

  return { isCold, admits, recordPlacement };

  function isCold(backend: KnownBackend, nowMs: number): boolean {
    return nowMs < backend.registration.coldUntilMs || nowMs < coldUntilByReadmission(backend);
  }

  /** @returns the end of the warm-up after a readmission; the last heartbeat may be older than it */
  function coldUntilByReadmission({ zone, service, registration }: KnownBackend): number {
    const readmittedAtMs = zones.readmittedAtMs(zone);
    const graceMs = READMISSION_GRACE_INTERVALS * options.heartbeatIntervalMs;
    return readmittedAtMs === undefined ||
      registration.recordReceivedAtMs > readmittedAtMs + graceMs
      ? Number.NEGATIVE_INFINITY
      : readmittedAtMs + (warmUpOf(service)?.warmUpMs ?? 0);
  }

  function admits(backend: KnownBackend, nowMs: number): boolean {
    if (bounds === undefined || !isCold(backend, nowMs)) {
      return true;
    }
    const recentMs = recentPlacementsMs(backend, nowMs);
    return isFeedCurrent(nowMs) && recentMs.length < admissionLimit(backend, bounds);
  }

  /** @returns how many new flows this balancer may give to a cold back end per window */
  function admissionLimit(backend: KnownBackend, slowStartBounds: SlowStartBounds): number {
    const fleetLimit = fleetLimitOf(backend, slowStartBounds);
    const balancerCount = peers.size + 1;
    const perBalancer = Math.floor(fleetLimit / balancerCount);
    const remainder = fleetLimit - perBalancer * balancerCount;
    return perBalancer + Number(peers.isHolder(backend.id, remainder));
  }

  /** @returns how many new flows all balancers together may give to a cold back end per window */
  function fleetLimitOf({ service }: KnownBackend, { excess, slackPerS }: SlowStartBounds): number {
    const coldRequestsPerS = warmUpOf(service)?.coldRequestsPerS ?? 0;
    return Math.floor((coldRequestsPerS * excess + slackPerS) * ADMITTED_RATE_SHARE);
  }

  function recordPlacement(backend: KnownBackend, nowMs: number): void {
    if (
      bounds === undefined ||
      (warmUpOf(backend.service) === undefined && !isCold(backend, nowMs))
    ) {
      return;
    }
    const keptTimes = Math.max(1, fleetLimitOf(backend, bounds));
    const timesMs = [...recentPlacementsMs(backend, nowMs), nowMs].slice(-keptTimes);
    placements.set(backend.start.backend, { address: backend.address, timesMs }, nowMs);
  }

  /** @returns the times of recent flows that reach the back end; those placed at another address do not */
  function recentPlacementsMs({ start, address }: KnownBackend, nowMs: number): readonly number[] {
    const recent = placements.get(start.backend, nowMs);
    return recent !== undefined && isSameAddress(recent.address, address)
      ? recent.timesMs.filter((atMs) => nowMs - atMs < ADMISSION_WINDOW_MS)
      : [];
  }
}

function isSameAddress(one: Address, other: Address): boolean {
  return one.host === other.host && one.port === other.port;
}
