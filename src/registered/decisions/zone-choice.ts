/**
 * @file Which zones the back end of a new flow is looked for in: the own one, others only where it has none or is
 * clearly busier.
 */
import type { KnownBackend } from '../ingress/known-backend.js';
import type { MechanismSwitches } from './mechanism-switches.js';

/** Narrows back ends to those of the zones that come first. */
export type ZoneChoice = (candidates: readonly KnownBackend[]) => readonly KnownBackend[];

/** Another zone takes the flow only where its load a slot is lower by at least this. */
const ZONE_MARGIN = 0.6;

/** @param ownZone zone of the balancer that places */
export function createZoneChoice(ownZone: string, policy: MechanismSwitches): ZoneChoice {
  return (candidates) => {
    if (policy.zones === 'any') {
      return candidates;
    }
    const local = candidates.filter(({ zone }) => zone === ownZone);
    const remote = candidates.filter(({ zone }) => zone !== ownZone);
    const isBusier = zoneLoad(local) - zoneLoad(remote) > ZONE_MARGIN;
    const goesElsewhere = local.length === 0 || (remote.length > 0 && isBusier);
    return goesElsewhere ? inIdlerZones(remote) : local;
  };

  /** Flows of a zone that takes none are spread over the others, but for those that are clearly busier than one. */
  function inIdlerZones(remote: readonly KnownBackend[]): readonly KnownBackend[] {
    const zones = [...new Set(remote.map(({ zone }) => zone))];
    const loads = new Map(zones.map((name) => [name, zoneLoad(inZone(remote, name))]));
    const least = Math.min(...loads.values());
    return remote.filter(({ zone }) => (loads.get(zone) ?? least) - least <= ZONE_MARGIN);
  }

  /** @returns requests in progress for each slot over all of some back ends */
  function zoneLoad(backends: readonly KnownBackend[]): number {
    let busy = 0;
    let slots = 0;
    for (const { local, fleet, registration } of backends) {
      busy += local.busy + (policy.toldLoads === 'ignored' ? 0 : fleet.busy);
      slots += Math.max(1, registration.record.capacity);
    }
    return busy / Math.max(1, slots);
  }
}

function inZone(backends: readonly KnownBackend[], name: string): KnownBackend[] {
  return backends.filter(({ zone }) => zone === name);
}
