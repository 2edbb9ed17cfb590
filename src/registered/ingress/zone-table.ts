/**
 * @file The zones as a balancer knows them: which are evacuated, so that no new flow goes there, and when others were
 * readmitted. It owns them; only newer orders count, so a control machine that lags behind takes nothing back.
 */
import type { ZoneUpdate } from '../group/group-messages.js';

/** What a balancer knows of zones. */
export interface ZoneTable {
  /** Rises with each order that is applied. */
  readonly version: number;
  applyUpdates(updates: readonly ZoneUpdate[], nowMs: number): void;
  /** @returns all zones for which there was an order, as other balancers get them */
  updates(nowMs: number): ZoneUpdate[];
  isEvacuated(zone: string): boolean;
  /** @returns when a zone was readmitted last, in milliseconds; undefined for never, or where it is not known */
  readmittedAtMs(zone: string): number | undefined;
  /** @returns the evacuated zones and for how long each has been known here as one; undefined for none */
  describeEvacuated(nowMs: number): string | undefined;
}

interface KnownZone {
  readonly orders: number;
  readonly evacuatedSinceMs: number | undefined;
  readonly readmittedAtMs: number | undefined;
}

/** @returns a table in which no zone is evacuated */
export function createZoneTable(): ZoneTable {
  const zones = new Map<string, KnownZone>();
  let version = 0;

  return {
    get version() {
      return version;
    },
    applyUpdates,
    updates,
    isEvacuated: (zone) => zones.get(zone)?.evacuatedSinceMs !== undefined,
    readmittedAtMs: (zone) => zones.get(zone)?.readmittedAtMs,
    describeEvacuated,
  };

  function applyUpdates(received: readonly ZoneUpdate[], nowMs: number): void {
    for (const { zone, isEvacuated, orders, readmittedAgoMs } of received) {
      if (orders > (zones.get(zone)?.orders ?? 0)) {
        version += 1;
        zones.set(zone, {
          orders,
          evacuatedSinceMs: isEvacuated ? nowMs : undefined,
          readmittedAtMs: readmittedAgoMs === undefined ? undefined : nowMs - readmittedAgoMs,
        });
      }
    }
  }

  function updates(nowMs: number): ZoneUpdate[] {
    return [...zones].map(([zone, { orders, evacuatedSinceMs, readmittedAtMs }]) => ({
      zone,
      isEvacuated: evacuatedSinceMs !== undefined,
      orders,
      ...(readmittedAtMs !== undefined && { readmittedAgoMs: Math.round(nowMs - readmittedAtMs) }),
    }));
  }

  function describeEvacuated(nowMs: number): string | undefined {
    let text: string | undefined;
    for (const [zone, { evacuatedSinceMs }] of zones) {
      if (evacuatedSinceMs !== undefined) {
        const entry = `${zone}:${Math.round(nowMs - evacuatedSinceMs)}ms`;
        text = text === undefined ? entry : `${text},${entry}`;
      }
    }
    return text;
  }
}
