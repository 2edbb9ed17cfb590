/**
 * @file How much load does a back end have where back ends of one zone are compared?
 *
 * - Inputs: requests in progress at the back end here, where `policy.toldLoads` is `backend` also at all other
 *   balancers; its slots; whether it is cold.
 * - Returns: requests in progress for each slot, with a penalty for a cold back end.
 * - Reason: the fleet's load is half a second old or more. If it counted for each back end, all balancers would send the
 *   opens of that time to the same one. Measured: without it 99 of 100 requests took up to 144 ms at twice the usual load,
 *   165 ms with it. Sums over a zone change slowly, so the zone choice counts it.
 */
import { slotsOf, type KnownBackend } from '../ingress/known-backend.js';
import type { MechanismSwitches } from './mechanism-switches.js';
import type { SlowStart } from './slow-start.js';

/** @returns requests in progress for each slot of a back end, as far as they count */
export type LoadPerSlot = (backend: KnownBackend, nowMs: number) => number;

/**
 * A cold back end counts as if it had so many more requests in progress for each slot, so an idle warm one goes first.
 * Not measured: days without the penalty differed by less than the noise. Too low if answers of cold back ends come
 * late while warm ones idle; too high if warm ones queue while cold ones could serve.
 */
const COLD_PENALTY = 0.4;

/** @returns the measure of one balancer */
export function createLoadPerSlot(switches: MechanismSwitches, slowStart: SlowStart): LoadPerSlot {
  return (backend, nowMs) => {
    const { local, fleet } = backend;
    const busy = local.busy + (switches.toldLoads === 'backend' ? fleet.busy : 0);
    const perSlot = busy / slotsOf(backend);
    const isCold = switches.warmUp !== 'ignored' && slowStart.isCold(backend, nowMs);
    return isCold ? perSlot + COLD_PENALTY : perSlot;
  };
}
