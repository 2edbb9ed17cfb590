/**
 * @file Checks whether the other zones have the capacity to take over the requests in progress if a zone is evacuated.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { ZoneReport } from '../../registered/group/group-messages.js';

/** Effect of an evacuation on capacity. */
export interface EvacuationPlan {
  readonly zone: string;
  /** True if the zone is evacuated already. */
  readonly isEvacuated: boolean;
  /** Requests in progress in all zones. */
  readonly busy: number;
  /** Concurrent requests that the remaining zones can process. */
  readonly slotsLeft: number;
  /** True if the remaining slots cover the requests in progress. */
  readonly fits: boolean;
}

/**
 * @param zones all zones, as reported by a control machine
 * @returns the plan, or `not-found` for an unknown zone
 */
export function planEvacuation(
  zones: readonly ZoneReport[],
  zone: string,
): Result<EvacuationPlan, AmberliftError> {
  const evacuated = zones.find((report) => report.zone === zone);
  if (evacuated === undefined) {
    const names = zones.map((report) => report.zone).join(', ');
    return err(
      amberliftError('not-found', `Unknown zone ${zone}; the deployment has ${names || 'none'}.`),
    );
  }
  const remaining = zones.filter((report) => report !== evacuated && !report.isEvacuated);
  const slotsLeft = remaining.reduce((sum, { slots }) => sum + slots, 0);
  const busy = zones.reduce((sum, report) => sum + report.busy, 0);
  const { isEvacuated } = evacuated;
  return ok({ zone, isEvacuated, busy, slotsLeft, fits: slotsLeft > 0 && slotsLeft >= busy });
}

/** @returns the plan as text, with a warning if capacity does not suffice */
export function describeEvacuation(plan: EvacuationPlan): string {
  const { zone, isEvacuated, busy, slotsLeft, fits } = plan;
  const state = isEvacuated ? `Zone ${zone} is evacuated already.` : '';
  const capacity = `Without zone ${zone} there are ${slotsLeft} slots for ${busy} requests in progress.`;
  const warning = fits ? '' : 'Warning: the remaining capacity does not suffice.';
  return [state, capacity, warning].filter((sentence) => sentence !== '').join(' ');
}
