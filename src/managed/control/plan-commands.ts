/**
 * @file Commands that plan changes and cancel planned ones. The leader proposes a `run-planned-change` entry when a
 * planned change is due, and `apply-command.ts` executes it.
 */
import { err, ok } from 'neverthrow';
import { amberliftError } from '../../shared/common/error-kinds.js';
import type { ClusterState, PlannedChange } from './cluster-state.js';
import type { OperatorCommand } from './commands.js';
import type { CommandSource, DecisionResult } from './decision.js';

/** Limit per operator; bounds the snapshot size. */
const MAX_PLANNED_CHANGES = 1_000;

/** Plans a change; permissions and conflicts are checked when it is executed. */
export function planChange(
  source: CommandSource,
  command: Extract<OperatorCommand, { type: 'plan-change' }>,
): DecisionResult {
  const { owner, timeMs, commandId } = source;
  if (owner.plans.size >= MAX_PLANNED_CHANGES) {
    const message = `You have ${MAX_PLANNED_CHANGES} planned changes, which is the most.`;
    return err(amberliftError('conflict', message));
  }
  const { when, change } = command;
  const atMs = 'atMs' in when ? when.atMs : timeMs + when.inMs;
  const planned: PlannedChange = { id: owner.nextPlanId, atMs, change, commandId };
  owner.nextPlanId += 1;
  return ok({ changes: [], planned });
}

/** Cancels a planned change that has not been executed. */
export function cancelPlan(
  source: CommandSource,
  command: Extract<OperatorCommand, { type: 'cancel-plan' }>,
): DecisionResult {
  const { planId } = command;
  return source.owner.plans.has(planId)
    ? ok({ changes: [], cancelledPlanId: planId })
    : err(amberliftError('not-found', `You have no planned change ${planId}.`));
}

/** A due planned change and the operator who owns it. */
interface DuePlan {
  readonly operator: string;
  readonly planId: number;
  readonly atMs: number;
}

/**
 * @param nowMs Unix time in milliseconds
 * @returns the planned changes that are due, earliest first
 */
export function duePlannedChanges(state: ClusterState, nowMs: number): DuePlan[] {
  const due: DuePlan[] = [];
  for (const owner of state.owners.values()) {
    for (const plan of owner.plans.values()) {
      if (plan.atMs <= nowMs) {
        due.push({ operator: owner.name, planId: plan.id, atMs: plan.atMs });
      }
    }
  }
  return due.sort((one, other) => one.atMs - other.atMs || one.planId - other.planId);
}
