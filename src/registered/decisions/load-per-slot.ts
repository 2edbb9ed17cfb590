/**
 * @file Load of a back end for choosing within a zone. Loads that other balancers report are excluded by
 * default: they are half a second old or more, and all balancers would choose the same back end by them. Sums over a zone change
 * slowly, so the zone choice uses them.
 */
import { slotsOf, type KnownBackend } from '../ingress/known-backend.js';
import type { MechanismSwitches } from './mechanism-switches.js';
import type { SlowStart } from './slow-start.js';

/** @returns requests in progress per slot of a back end, plus a penalty if it is cold */
export type LoadPerSlot = (backend: KnownBackend, nowMs: number) => number;

/** Requests per slot added to a cold back end, so that idle warm ones are preferred. */
const COLD_PENALTY_PER_SLOT = 0.4;

/** @returns the load function of one balancer */
export function createLoadPerSlot(switches: MechanismSwitches, slowStart: SlowStart): LoadPerSlot {
  return (backend, nowMs) => {
    const { local, fleet } = backend;
    const busy = local.busy + (switches.toldLoads === 'backend' ? fleet.busy : 0);
    const perSlot = busy / slotsOf(backend);
    const isCold = switches.warmUp !== 'ignored' && slowStart.isCold(backend, nowMs);
    return isCold ? perSlot + COLD_PENALTY_PER_SLOT : perSlot;
  };
}
