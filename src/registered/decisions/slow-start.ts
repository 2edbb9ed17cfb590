/**
 * @file Limits the new flows that cold back ends get: those that have just started, or whose zone was just
 * readmitted. Each balancer takes an equal part of the rate and needs no coordination per flow; the remainder
 * goes to balancers chosen by rendezvous hashing. A balancer whose feed is not current admits none.
 */
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
 * Two balancers may briefly have different lists of balancers; with half of the rate, the limits by both
 * lists together stay within it.
 */
const ADMITTED_RATE_SHARE = 0.5;
/** Heartbeats that arrive sooner after a readmission may have been sent before it. */
const READMISSION_GRACE_INTERVALS = 2;
/** A second, plus the jitter of two datagrams on a full link. */
const ADMISSION_WINDOW_MS = 1_200;

/** @returns slow start without any admitted flow */
export function createSlowStart(options: SlowStartOptions): SlowStart {
  const { bounds, zones, peers, warmUpOf, isFeedCurrent } = options;
  /** Times of flows placed at cold back ends within the last window, by back end ID. */
  const placementTimesMs = new Map<string, number[]>();

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
    const recentMs = (placementTimesMs.get(backend.id) ?? []).filter(
      (atMs) => nowMs - atMs < ADMISSION_WINDOW_MS,
    );
    return isFeedCurrent(nowMs) && recentMs.length < admissionLimit(backend, bounds);
  }

  /** @returns how many new flows this balancer may give to a cold back end per window */
  function admissionLimit(
    { id, service }: KnownBackend,
    { excess, slackPerS }: SlowStartBounds,
  ): number {
    const coldRequestsPerS = warmUpOf(service)?.coldRequestsPerS ?? 0;
    const fleetLimit = Math.floor((coldRequestsPerS * excess + slackPerS) * ADMITTED_RATE_SHARE);
    const balancerCount = peers.size + 1;
    const perBalancer = Math.floor(fleetLimit / balancerCount);
    const remainder = fleetLimit - perBalancer * balancerCount;
    return perBalancer + Number(peers.isHolder(id, remainder));
  }

  function recordPlacement(backend: KnownBackend, nowMs: number): void {
    if (bounds === undefined || !isCold(backend, nowMs)) {
      return;
    }
    for (const [id, timesMs] of placementTimesMs) {
      const recentMs = timesMs.filter((atMs) => nowMs - atMs < ADMISSION_WINDOW_MS);
      if (recentMs.length === 0) {
        placementTimesMs.delete(id);
      } else {
        placementTimesMs.set(id, recentMs);
      }
    }
    placementTimesMs.set(backend.id, [...(placementTimesMs.get(backend.id) ?? []), nowMs]);
  }
}
