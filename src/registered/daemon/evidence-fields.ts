/** @file Log fields for the evidence on which a back end is ejected or its flows are reset. */
import type { Ejection } from '../decisions/ejection/by-answers.js';
import { suspicionOf, type FleetSuspicion } from '../decisions/shared-evidence.js';
import type { IngressState } from '../ingress/ingress-state.js';
import type { DecisionFields } from './decision-log.js';

/** @returns the fields of an ejection, with its evidence */
export function ejectionFields(
  { backendId, failure, holdMs, evidence }: Ejection,
  nowMs: number,
): DecisionFields {
  const { stalled, busy, suspicion } = evidence;
  const answered = Math.round(evidence.answered);
  const short = Math.round(evidence.short);
  const fields = { backend: backendId, failure, holdMs, stalled, busy, answered, short };
  return { ...fields, ...suspicionFields(suspicion, nowMs) };
}

/** @returns what balancers agree on about the back end of a flow that is reset */
export function resetEvidence(
  { backends }: IngressState,
  token: number,
  nowMs: number,
): DecisionFields {
  const backend = backends.resolve(token);
  return suspicionFields(backend && suspicionOf(backend, 'unacknowledged', nowMs), nowMs);
}

function suspicionFields(suspicion: FleetSuspicion | undefined, nowMs: number): DecisionFields {
  if (suspicion === undefined) {
    return {};
  }
  const { balancers, flows, repeats, sinceMs, isOverdue } = suspicion;
  return { balancers, flows, repeats, waitedMs: Math.round(nowMs - sinceMs), overdue: isOverdue };
}
