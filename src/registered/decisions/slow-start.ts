/**
 * @file How many new flows may this balancer give to a cold back end?
 *
 * - Inputs: what a cold back end of the service handles (new flows a second), the bounds of the deployment, until when
 *   the back end is cold (milliseconds), the other balancers, whether this one is current.
 * - Returns: whether a back end is cold, and whether it may get one more flow from here. It owns the times of the flows
 *   that it admitted.
 * - Reason: a back end that has just started, or whose zone was just readmitted, handles only so many new flows a second
 *   from all balancers together, also from those that are cut off from control and from each other, so nobody can be
 *   asked before each flow. Each balancer takes the same part of the rate; the rest, which is all of it where there are
 *   more balancers than flows a second, falls to a few that all choose alike by rendezvous. A balancer that is not
 *   current gives cold back ends nothing. What is not admitted goes to other back ends.
 * - Measured in the simulator with 12 balancers and 80 clients: no cold back end above its bound at 0, 6 and 40 requests
 *   a second; without it a readmitted zone gets more than it handles at once.
 *
 * Settings `policy.warmUp`, `coldBounds.*`; an open that only cold back ends could take is `reset reason=all-cold`.
 */
import type { ServiceWarmUp } from '../declared/declared-config.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { PeerTable } from '../ingress/peer-table.js';
import type { ZoneTable } from '../ingress/zone-table.js';

/** How many new flows a second a cold back end may get from all balancers together. */
export interface SlowStartBounds {
  /** So many times what its service declares that a cold back end handles ... */
  readonly excess: number;
  /** ... and so many more. */
  readonly slackPerS: number;
}

/** What slow start depends on. */
interface SlowStartOptions {
  /** Undefined where the deployment bounds nothing: cold back ends only count as busier. */
  readonly bounds: SlowStartBounds | undefined;
  /** Time between two heartbeats of a back end, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  readonly zones: ZoneTable;
  readonly peers: PeerTable;
  /** @returns how the back ends of a service warm up; undefined where they are never cold */
  readonly warmUpOf: (service: string) => ServiceWarmUp | undefined;
  /** @returns true where this balancer is current, so that it knows the others */
  readonly knowsOthers: (nowMs: number) => boolean;
}

/** Slow start at one balancer. */
export interface SlowStart {
  isCold(backend: KnownBackend, nowMs: number): boolean;
  /** @returns true where a back end is warm, or may be given one more new flow from here */
  admits(backend: KnownBackend, nowMs: number): boolean;
  /** Records that a new flow goes to a back end. */
  recordPlacement(backend: KnownBackend, nowMs: number): void;
}

/**
 * Part of the rate that is shared out. Two balancers may know different lists of balancers for a moment, or one may be
 * cut off and not know it yet: those chosen by either list then fit into the rate together. It costs opens that would
 * still have fitted, where all back ends are cold at once.
 */
const GIVEN_SHARE = 0.5;
/**
 * A heartbeat that comes sooner after a readmission may have been sent before it, to a machine that did not answer. With
 * less, simulated faults made cold back ends count as warm (4 of 16 seeds).
 */
const LATE_HEARTBEAT_INTERVALS = 2;
/** A second, and by how much the delays of two datagrams may differ on a full link. Not measured. */
const WINDOW_MS = 1_200;

/** @returns slow start that has admitted no flow yet */
export function createSlowStart(options: SlowStartOptions): SlowStart {
  const { bounds, zones, peers, warmUpOf, knowsOthers } = options;
  /** When cold back ends got new flows within the last window, by their IDs. */
  const placedAtMs = new Map<string, number[]>();

  return { isCold, admits, recordPlacement };

  function isCold(backend: KnownBackend, nowMs: number): boolean {
    return nowMs < backend.registration.warmUntilMs || nowMs < coldSinceReadmission(backend);
  }

  /** @returns until when a back end is cold whose heartbeats were sent before its zone was readmitted */
  function coldSinceReadmission({ zone, service, registration }: KnownBackend): number {
    const readmittedAtMs = zones.readmittedAtMs(zone);
    const lateMs = LATE_HEARTBEAT_INTERVALS * options.heartbeatIntervalMs;
    return readmittedAtMs === undefined || registration.recordReceivedAtMs > readmittedAtMs + lateMs
      ? Number.NEGATIVE_INFINITY
      : readmittedAtMs + (warmUpOf(service)?.warmUpMs ?? 0);
  }

  function admits(backend: KnownBackend, nowMs: number): boolean {
    if (bounds === undefined || !isCold(backend, nowMs)) {
      return true;
    }
    const recent = (placedAtMs.get(backend.id) ?? []).filter((atMs) => nowMs - atMs < WINDOW_MS);
    return knowsOthers(nowMs) && recent.length < ownShare(backend, bounds);
  }

  /** @returns how many new flows a window this balancer may give to a cold back end */
  function ownShare({ id, service }: KnownBackend, { excess, slackPerS }: SlowStartBounds): number {
    const handledPerS = warmUpOf(service)?.coldRequestsPerS ?? 0;
    const sharedOut = Math.floor((handledPerS * excess + slackPerS) * GIVEN_SHARE);
    const balancerCount = peers.size + 1;
    const perBalancer = Math.floor(sharedOut / balancerCount);
    const rest = sharedOut - perBalancer * balancerCount;
    return perBalancer + Number(peers.isOwnHolder(id, rest));
  }

  function recordPlacement(backend: KnownBackend, nowMs: number): void {
    if (bounds === undefined || !isCold(backend, nowMs)) {
      return;
    }
    for (const [id, times] of placedAtMs) {
      const recent = times.filter((atMs) => nowMs - atMs < WINDOW_MS);
      if (recent.length === 0) {
        placedAtMs.delete(id);
      } else {
        placedAtMs.set(id, recent);
      }
    }
    placedAtMs.set(backend.id, [...(placedAtMs.get(backend.id) ?? []), nowMs]);
  }
}
