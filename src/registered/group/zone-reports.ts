/**
 * @file Reports the load of each zone, so that operators can judge an evacuation.
 */
import { eachLoad } from '../load-exchange/backend-load.js';
import { tokenOf } from '../registry/backend-token.js';
import type { ZoneReport } from './group-messages.js';
import type { GroupState } from './group-state.js';
import type { ReplicatedState } from './replicated-state.js';

/** State that the reports are made from. */
export type ZoneReportState = Pick<GroupState, 'options' | 'registry' | 'replicated' | 'loads'>;

/**
 * @returns a report for each zone that is in the settings, has had an order, or has back ends; sorted by name
 */
export function zoneReports({
  options,
  registry,
  replicated,
  loads,
}: ZoneReportState): ZoneReport[] {
  const reports = new Map<string, ZoneReport>();
  const names = [...options.zones, ...replicated.zones.all().map(({ zone }) => zone)];
  names.forEach((zone) => reports.set(zone, emptyReport(replicated, zone)));
  const busyByToken = new Map<number, number>();
  eachLoad(loads.totals.fleetSums(), (token, busy) => busyByToken.set(token, busy));
  for (const { record, liveness } of registry.all()) {
    const { zone, capacity } = record;
    const report = reports.get(zone) ?? emptyReport(replicated, zone);
    const isActive = liveness === 'alive' && replicated.departureOf(record.id) === undefined;
    const busy = busyByToken.get(tokenOf(record)) ?? 0;
    reports.set(zone, {
      ...report,
      backendCount: report.backendCount + Number(isActive),
      slots: report.slots + (isActive ? capacity : 0),
      busy: report.busy + busy,
    });
  }
  return [...reports.values()].sort((one, other) => (one.zone < other.zone ? -1 : 1));
}

function emptyReport(replicated: ReplicatedState, zone: string): ZoneReport {
  return { ...replicated.zones.statusOf(zone), backendCount: 0, slots: 0, busy: 0 };
}
