/**
 * @file What control machines know of one back end: its record, its liveness and its departure. The back end table
 * changes it as the feed says; all others read it.
 *
 * Times are on this balancer's clock: the feed carries ages, so clocks of machines are never compared.
 */
import { livenessOf, type LivenessChange, type Liveness } from '../registry/backend-liveness.js';
import type { BackendRecord, DepartureKind } from '../registry/backend-record.js';

/** What is registered of a back end. Writable for its owner only; `KnownBackend` shows it read-only. */
export interface Registration {
  /** What the back end last said of itself. */
  record: BackendRecord;
  /** When the heartbeat with that record came, in milliseconds. */
  recordReceivedAtMs: number;
  /** Until when it is cold from its start, in milliseconds. */
  warmUntilMs: number;
  /** When its last heartbeat came, in milliseconds; while it is alive the feed names only records that change. */
  lastHeartbeatAtMs: number;
  liveness: Liveness;
  /** Undefined while it is active. */
  departure: DepartureKind | undefined;
  /** When its departure became known, in milliseconds; without meaning while it is active. */
  departedAtMs: number;
}

/** @returns the registration of a back end whose first record came at `receivedAtMs` */
export function createRegistration(
  record: BackendRecord,
  receivedAtMs: number,
  departure: DepartureKind | undefined,
): Registration {
  return {
    record,
    recordReceivedAtMs: receivedAtMs,
    warmUntilMs: receivedAtMs + record.warmUpLeftMs,
    lastHeartbeatAtMs: receivedAtMs,
    liveness: 'alive',
    departure,
    departedAtMs: receivedAtMs,
  };
}

/** Applies a heartbeat that came `ageMs` ago; the record of an older one never replaces a newer one. */
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
    registration.warmUntilMs = receivedAtMs + record.warmUpLeftMs;
  }
}

/** Applies another liveness that a control machine detected. */
export function applyLivenessChange(
  registration: Registration,
  { liveness, silentMs }: LivenessChange,
  nowMs: number,
): void {
  registration.liveness = liveness;
  registration.lastHeartbeatAtMs = nowMs - silentMs;
}

/** A full sync did not name the back end: its heartbeats count as missing from now on. */
export function suspect(registration: Registration, nowMs: number): void {
  registration.liveness = 'suspect';
  registration.lastHeartbeatAtMs = nowMs;
}

/** The back end leaves; the caller sees to it that a departure is never taken back. */
export function depart(registration: Registration, kind: DepartureKind, nowMs: number): void {
  registration.departure = kind;
  registration.departedAtMs = nowMs;
}

/** @returns true where no flow of the back end can live any more */
export function isOver(
  registration: Readonly<Registration>,
  flowLifetimeMs: number,
  nowMs: number,
): boolean {
  const { departure, departedAtMs, lastHeartbeatAtMs, liveness } = registration;
  const lastSignAtMs =
    departure === undefined ? lastHeartbeatAtMs : Math.max(departedAtMs, lastHeartbeatAtMs);
  return liveness !== 'alive' && nowMs - lastSignAtMs > flowLifetimeMs;
}
