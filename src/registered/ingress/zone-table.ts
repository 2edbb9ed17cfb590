/**
 * @file Evacuation state of zones at a balancer: evacuated zones take no new flows. Only newer orders apply, so a lagging
 * control machine cannot revert a change.
 */
import type { ZoneUpdate } from '../group/group-messages.js';

/** Evacuation state of zones. */
export interface ZoneTable {
  /** Incremented with each applied order. */
  readonly version: number;
  applyUpdates(updates: readonly ZoneUpdate[], nowMs: number): void;
  /** @returns all zones with an order, in the form that is sent to other balancers */
  updates(nowMs: number): ZoneUpdate[];
  isEvacuated(zone: string): boolean;
  /** @returns the time of the last readmission, in milliseconds; undefined if there was none or it is unknown */
  readmittedAtMs(zone: string): number | undefined;
  /** @returns the evacuated zones, each with the time since this balancer learned of it; undefined if there are none */
  describeEvacuated(nowMs: number): string | undefined;
}

interface ZoneEntry {
  readonly orders: number;
  readonly evacuatedSinceMs: number | undefined;
  readonly readmittedAtMs: number | undefined;
}

/** @returns a table in which no zone is evacuated */
export function createZoneTable(): ZoneTable {
  const zones = new Map<string, ZoneEntry>();
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
