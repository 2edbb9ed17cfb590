/**
 * @file State of one back end as reported by control machines: record, liveness and departure. Changed by the back end
 * table only.
 *
 * All times are on the clock of this balancer. The feed carries ages, so clocks of machines are never compared.
 */
import { livenessOf, type LivenessChange, type Liveness } from '../registry/backend-liveness.js';
import type { BackendRecord, DepartureKind } from '../registry/backend-record.js';

/** Registration of a back end. `KnownBackend` exposes it read-only. */
export interface Registration {
  /** Latest record of the back end. */
  record: BackendRecord;
  /** Arrival of the heartbeat with that record, in milliseconds. */
  recordReceivedAtMs: number;
  /** End of the warm-up after its start, in milliseconds. */
  coldUntilMs: number;
  /** Last reported heartbeat, in milliseconds. The feed omits unchanged records of live back ends. */
  lastHeartbeatAtMs: number;
  liveness: Liveness;
  /** Undefined while the back end is active. */
  departure: DepartureKind | undefined;
  /** Arrival of the departure, in milliseconds; meaningless while the back end is active. */
  departedAtMs: number;
}

/** @returns a registration whose first record arrived at `receivedAtMs` */
export function createRegistration(
  record: BackendRecord,
  receivedAtMs: number,
  departure: DepartureKind | undefined,
): Registration {
  return {
    record,
    recordReceivedAtMs: receivedAtMs,
    coldUntilMs: receivedAtMs + record.warmUpLeftMs,
    lastHeartbeatAtMs: receivedAtMs,
    liveness: 'alive',
    departure,
    departedAtMs: receivedAtMs,
  };
}

/** Applies a heartbeat that arrived `ageMs` ago; its record never replaces a newer one. */
export function applyHeartbeat(
  registration: Registration,
  { record, ageMs }: { readonly record: BackendRecord; readonly ageMs: number },
  heartbeatIntervalMs: number,
  nowMs: number,
): void {
  const receivedAtMs = nowMs - ageMs;
  registration.liveness = livenessOf(ageMs, heartbeatIntervalMs);
  registration.lastHeartbeatAtMs = Math.max(registration.lastHeartbeatAtMs, receivedAtMs);
  if (record.sequence > registration.record.sequence) {
    registration.record = record;
    registration.recordReceivedAtMs = receivedAtMs;
    registration.coldUntilMs = receivedAtMs + record.warmUpLeftMs;
  }
}

/** Applies a liveness change detected by a control machine. */
export function applyLivenessChange(
  registration: Registration,
  { liveness, silentMs }: LivenessChange,
  nowMs: number,
): void {
  registration.liveness = liveness;
  registration.lastHeartbeatAtMs = nowMs - silentMs;
}

/** Marks the back end as suspect; its heartbeats count as missing from now on. */
export function markSuspect(registration: Registration, nowMs: number): void {
  registration.liveness = 'suspect';
  registration.lastHeartbeatAtMs = nowMs;
}

/** Records a departure. The caller ensures that a departure is never reverted. */
export function recordDeparture(
  registration: Registration,
  kind: DepartureKind,
  nowMs: number,
): void {
  registration.departure = kind;
  registration.departedAtMs = nowMs;
}

/** @returns true if the back end can have no live flows */
export function isExpired(
  registration: Readonly<Registration>,
  flowLifetimeMs: number,
  nowMs: number,
): boolean {
  const { departure, departedAtMs, lastHeartbeatAtMs, liveness } = registration;
  const lastActiveAtMs =
    departure === undefined ? lastHeartbeatAtMs : Math.max(departedAtMs, lastHeartbeatAtMs);
  return liveness !== 'alive' && nowMs - lastActiveAtMs > flowLifetimeMs;
}
