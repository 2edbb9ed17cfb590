/**
 * @file What a control machine knows of the work of each zone, for operators who weigh an evacuation.
 */
import { eachLoad } from '../load-exchange/backend-load.js';
import { tokenOf } from '../registry/backend-token.js';
import type { ZoneReport } from './group-messages.js';
import type { GroupState } from './group-state.js';

/**
 * @returns a report of each zone that the settings name, that has an order, or where back ends are
 */
export function zoneReports(state: GroupState): ZoneReport[] {
  const { registry, replicated, options } = state;
  const reports = new Map<string, ZoneReport>();
  const names = [...options.zones, ...replicated.zones.all().map(({ zone }) => zone)];
  names.forEach((zone) => reports.set(zone, emptyReport(state, zone)));
  const busyByToken = new Map<number, number>();
  eachLoad(state.loads.all(), (token, busy) => busyByToken.set(token, busy));
  for (const { record, liveness } of registry.all()) {
    const { zone, capacity } = record;
    const before = reports.get(zone) ?? emptyReport(state, zone);
    const stays = liveness === 'alive' && replicated.departureOf(record.id) === undefined;
    const busy = busyByToken.get(tokenOf(record.instanceNumber)) ?? 0;
    reports.set(zone, {
      ...before,
      backendCount: before.backendCount + Number(stays),
      slots: before.slots + (stays ? capacity : 0),
      busy: before.busy + busy,
    });
  }
  return [...reports.values()].sort((one, other) => (one.zone < other.zone ? -1 : 1));
}

function emptyReport({ replicated }: GroupState, zone: string): ZoneReport {
  return { ...replicated.zones.statusOf(zone), backendCount: 0, slots: 0, busy: 0 };
}
