/**
 * @file How many new flows this balancer may give to a back end that is cold. A back end that has just started, or
 * whose zone was just readmitted, bears only so many a second from all balancers together, also from those that are
 * cut off from control and from each other, so nobody can be asked before each flow.
 *
 * The balancers share the rate by what all of them know: each takes the same part, and what is left, which is all
 * of it where there are more balancers than flows a second, falls to a few that are chosen by rendezvous. What does
 * not fit goes to other back ends.
 */
import type { ServiceWarmUp } from '../declared/declared-config.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { PeerTable } from '../ingress/peer-table.js';
import type { ZoneTable } from '../ingress/zone-table.js';

/** How much a cold back end may be given. */
export interface SlowStartBounds {
  /** So many times what its service says that a cold back end handles ... */
  readonly excess: number;
  /** ... and so many more new flows in any second. */
  readonly slackPerS: number;
}

/** What the share follows from. */
export interface SlowStartOptions {
  /** Undefined where the deployment bounds nothing. */
  readonly bounds: SlowStartBounds | undefined;
  /** Time between two heartbeats of a back end, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  readonly zones: ZoneTable;
  readonly peers: PeerTable;
  /** @returns how the back ends of a service warm up; undefined where they are never cold */
  readonly warmUpOf: (service: string) => ServiceWarmUp | undefined;
  /** @returns true where this balancer knows the others as they are now */
  readonly knowsOthers: (nowMs: number) => boolean;
}

/** Says which back ends are cold, and counts what this balancer gives them. */
export interface SlowStart {
  isCold(backend: KnownBackend, nowMs: number): boolean;
  /** @returns true where a back end is warm, or may be given one more new flow from here */
  admits(backend: KnownBackend, nowMs: number): boolean;
  /** A new flow goes to a back end. */
  recordPlacement(backend: KnownBackend, nowMs: number): void;
}

/**
 * Part of the rate that is given out. Two balancers may know different lists of balancers for a moment, or one may
 * be cut off and not know it yet: those chosen by either list then fit into the rate together.
 */
const GIVEN_SHARE = 0.5;
/** A heartbeat that comes sooner after a readmission may have been sent before, to a machine that did not answer. */
const LATE_HEARTBEAT_INTERVALS = 2;
/** A second, and what the ways of two datagrams may differ by on a full link. */
const WINDOW_MS = 1_200;

/** @returns the share of a balancer that has given nothing to cold back ends yet */
export function createSlowStart(options: SlowStartOptions): SlowStart {
  const { bounds, zones, peers, warmUpOf, knowsOthers } = options;
  /** When cold back ends were given new flows within the last window, by their IDs. */
  const taken = new Map<string, number[]>();

  return { isCold, admits, recordPlacement };

  function isCold(backend: KnownBackend, nowMs: number): boolean {
    return nowMs < backend.registration.warmUntilMs || nowMs < coldSinceReadmission(backend);
  }

  /** @returns until when a back end may be cold that has surely told nothing since its zone was readmitted */
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
    const recent = (taken.get(backend.id) ?? []).filter((atMs) => nowMs - atMs < WINDOW_MS);
    return knowsOthers(nowMs) && recent.length < ownShare(backend, bounds);
  }

  /** @returns how many new flows a window this balancer may give to a cold back end */
  function ownShare({ id, service }: KnownBackend, { excess, slackPerS }: SlowStartBounds): number {
    const handledPerS = warmUpOf(service)?.coldRequestsPerS ?? 0;
    const given = Math.floor((handledPerS * excess + slackPerS) * GIVEN_SHARE);
    const balancerCount = peers.size + 1;
    const forEach = Math.floor(given / balancerCount);
    const left = given - forEach * balancerCount;
    return forEach + Number(peers.isOwnHolder(id, left));
  }

  function recordPlacement(backend: KnownBackend, nowMs: number): void {
    if (bounds === undefined || !isCold(backend, nowMs)) {
      return;
    }
    for (const [id, times] of taken) {
      const recent = times.filter((atMs) => nowMs - atMs < WINDOW_MS);
      if (recent.length === 0) {
        taken.delete(id);
      } else {
        taken.set(id, recent);
      }
    }
    taken.set(backend.id, [...(taken.get(backend.id) ?? []), nowMs]);
  }
}
