/**
 * @file Prefers back ends of the own zone, since traffic between zones costs money and time. Other zones are
 * used if the own one has no candidates or a clearly higher load, and then the least loaded of them.
 */
import { slotsOf, type KnownBackend } from '../ingress/known-backend.js';
import type { MechanismSwitches } from './mechanism-switches.js';

/** Narrows candidates to those of the preferred zones; keeps their order. */
type ZoneChoice = (candidates: readonly KnownBackend[]) => readonly KnownBackend[];

/**
 * Requests in progress per slot by which the load of two zones must differ to matter. Lower, flows cross zones though the own
 * one has free slots; higher, callers wait in one zone while back ends of others idle.
 */
const ZONE_LOAD_MARGIN = 0.6;

/** @param ownZone zone of this balancer */
export function createZoneChoice(ownZone: string, switches: MechanismSwitches): ZoneChoice {
  return (candidates) => {
    if (switches.zones === 'any') {
      return candidates;
    }
    const local = candidates.filter(({ zone }) => zone === ownZone);
    const remote = candidates.filter(({ zone }) => zone !== ownZone);
    const isBusier = zoneLoad(local) - zoneLoad(remote) > ZONE_LOAD_MARGIN;
    const prefersRemote = local.length === 0 || (remote.length > 0 && isBusier);
    return prefersRemote ? inLeastLoadedZones(remote) : local;
  };

  /** @returns the back ends of the least loaded zone and of those within the margin */
  function inLeastLoadedZones(remote: readonly KnownBackend[]): readonly KnownBackend[] {
    const zones = [...new Set(remote.map(({ zone }) => zone))];
    const loads = new Map(zones.map((name) => [name, zoneLoad(inZone(remote, name))]));
    const minLoad = Math.min(...loads.values());
    return remote.filter(({ zone }) => (loads.get(zone) ?? minLoad) - minLoad <= ZONE_LOAD_MARGIN);
  }

  /** @returns requests in progress per slot over all given back ends */
  function zoneLoad(backends: readonly KnownBackend[]): number {
    let busy = 0;
    let slots = 0;
    for (const backend of backends) {
      const { local, fleet } = backend;
      busy += local.busy + (switches.toldLoads === 'ignored' ? 0 : fleet.busy);
      slots += slotsOf(backend);
    }
    return busy / Math.max(1, slots);
  }
}

function inZone(backends: readonly KnownBackend[], name: string): KnownBackend[] {
  return backends.filter(({ zone }) => zone === name);
}
