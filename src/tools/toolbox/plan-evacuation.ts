/**
 * @file What emptying a zone would leave: whether the back ends of the other zones can run what is in progress now.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { ZoneReport } from '../../registered/group/group-messages.js';

/** What an evacuation would do. */
export interface EvacuationPlan {
  readonly zone: string;
  /** True where the zone is evacuated already. */
  readonly isEvacuated: boolean;
  /** Requests in progress over all zones. */
  readonly busy: number;
  /** How many requests the zones that are left work on at once. */
  readonly slotsLeft: number;
  /** True where as many slots are left as requests are in progress. */
  readonly fits: boolean;
}

/**
 * @param zones all zones, as a control machine reports them
 * @returns the plan, or `not-found` where the deployment has no such zone
 */
export function planEvacuation(
  zones: readonly ZoneReport[],
  zone: string,
): Result<EvacuationPlan, AmberliftError> {
  const emptied = zones.find((report) => report.zone === zone);
  if (emptied === undefined) {
    const names = zones.map((report) => report.zone).join(', ');
    return err(
      amberliftError('not-found', `The deployment has no zone ${zone}; it has ${names || 'none'}.`),
    );
  }
  const remaining = zones.filter((report) => report !== emptied && !report.isEvacuated);
  const slotsLeft = remaining.reduce((sum, { slots }) => sum + slots, 0);
  const busy = zones.reduce((sum, report) => sum + report.busy, 0);
  const { isEvacuated } = emptied;
  return ok({ zone, isEvacuated, busy, slotsLeft, fits: slotsLeft > 0 && slotsLeft >= busy });
}

/** @returns the plan in a sentence or two */
export function describeEvacuation(plan: EvacuationPlan): string {
  const { zone, isEvacuated, busy, slotsLeft, fits } = plan;
  const state = isEvacuated ? `Zone ${zone} is evacuated already.` : '';
  const left = `Without zone ${zone} there are ${slotsLeft} slots for ${busy} requests in progress.`;
  const warning = fits ? '' : 'Warning: that is less than what is in progress.';
  return [state, left, warning].filter((sentence) => sentence !== '').join(' ');
}
