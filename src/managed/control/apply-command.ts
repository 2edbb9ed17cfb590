/**
 * @file The replicated state machine: applies one log entry to the cluster state. It must be deterministic, so that
 * all control machines reach the same state. Permissions are checked here as well as at the operator interface.
 */
import { err, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { formatAddress } from '../../shared/common/address.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import { recordRevision, recordAudit } from './audit.js';
import { addBackend, retireBackend, setAdminState } from './backend-commands.js';
import type { ClusterState, Operator, OwnerState, PlannedChange } from './cluster-state.js';
import { commandHash } from './command-hash.js';
import { commandIssueTimeMs } from './command-id.js';
import {
  checkNewCommandId,
  defaultRecordBounds,
  dropExpiredRecords,
  addRecord,
  type RecordBounds,
} from './command-records.js';
import {
  isSystemCommand,
  SYSTEM_OPERATOR,
  type AcceptedOutcome,
  type Command,
  type CommandEntry,
  type CommandOutcome,
  type OperatorCommand,
  type SystemCommand,
} from './commands.js';
import { applyToConfig } from './config-lookup.js';
import type { ConfigChange, ConfigPosition } from './config-delta.js';
import type { CommandSource, Decision, DecisionResult } from './decision.js';
import { cancelPlan, planChange } from './plan-commands.js';
import { changeService, defineService, retireService } from './service-commands.js';
import { applySystemCommand } from './system-commands.js';

/** The result of applying an entry. */
export interface AppliedEntry {
  readonly outcome: CommandOutcome;
  /** Configuration changes to publish to balancers; empty if the command was refused. */
  readonly changes: readonly ConfigChange[];
}

/**
 * Applies the entry at `position` and records its outcome under its command ID.
 * @param bounds limits on the number and age of stored outcomes
 * @returns the outcome; for a repeated command, the outcome stored the first time
 */
export function applyCommand(
  state: ClusterState,
  position: ConfigPosition,
  entry: CommandEntry,
  bounds: RecordBounds = defaultRecordBounds,
): AppliedEntry {
  state.index = position.index;
  state.term = position.term;
  state.timeMs = Math.max(state.timeMs, entry.atMs ?? 0);
  const { command } = entry;
  if (entry.operator === SYSTEM_OPERATOR) {
    return isSystemCommand(command)
      ? applySystemEntry(state, command)
      : refusal(amberliftError('unauthorized', 'The system sends no such command.'));
  }
  const operator = state.operators.get(entry.operator);
  const owner = state.owners.get(entry.operator);
  if (operator === undefined || owner === undefined) {
    return refusal(amberliftError('unauthorized', 'No such operator.'));
  }
  return applyOperatorEntry(state, { operator, owner }, entry, bounds);
}

interface Sender {
  readonly operator: Operator;
  readonly owner: OwnerState;
}

function applySystemEntry(state: ClusterState, command: SystemCommand): AppliedEntry {
  if (command.type === 'run-planned-change') {
    return runPlannedChange(state, command.operator, command.planId);
  }
  return applySystemCommand(state, command).match(
    (changes): AppliedEntry => ({ outcome: { accepted: true, index: state.index }, changes }),
    refusal,
  );
}

function applyOperatorEntry(
  state: ClusterState,
  sender: Sender,
  entry: CommandEntry,
  bounds: RecordBounds,
): AppliedEntry {
  const { owner } = sender;
  const { command, commandId } = entry;
  dropExpiredRecords(owner, state.timeMs, bounds);
  const hash = commandHash(command);
  const existing = owner.commandRecords.get(commandId);
  if (existing?.commandHash === hash) {
    return { outcome: existing.outcome, changes: [] };
  }
  if (existing !== undefined) {
    const message = 'This command ID was used for another command.';
    return auditedRefusal(state, owner, entry, amberliftError('command-id-reused', message));
  }
  const idCheck = checkNewCommandId(owner, commandId, bounds);
  if (idCheck.isErr()) {
    return auditedRefusal(state, owner, entry, idCheck.error);
  }
  const applied = decideAndCommit(state, sender, commandId, command);
  const issuedAtMs = commandIssueTimeMs(commandId);
  const { outcome } = applied;
  addRecord(owner, { commandId, commandHash: hash, outcome, issuedAtMs }, bounds);
  audit(state, owner, commandId, command, outcome);
  return applied;
}

function decideAndCommit(
  state: ClusterState,
  sender: Sender,
  commandId: string,
  command: Command,
): AppliedEntry {
  const source = { ...sender, commandId, index: state.index, timeMs: state.timeMs };
  return decide(state, source, command).match(
    (decision): AppliedEntry => ({
      outcome: commit(state, sender.owner, decision),
      changes: decision.changes,
    }),
    refusal,
  );
}

function decide(state: ClusterState, source: CommandSource, command: Command): DecisionResult {
  return isSystemCommand(command)
    ? err(amberliftError('unauthorized', 'Only the system may send this command.'))
    : decideOperatorCommand(state, source, command);
}

function decideOperatorCommand(
  state: ClusterState,
  source: CommandSource,
  command: OperatorCommand,
): Result<Decision, AmberliftError> {
  return match(command)
    .with({ type: 'define-service' }, (define) => defineService(state, source, define))
    .with({ type: 'change-service' }, (change) => changeService(state, source, change))
    .with({ type: 'retire-service' }, (retire) => retireService(state, source, retire))
    .with({ type: 'add-backend' }, (add) => addBackend(state, source, add))
    .with({ type: 'drain-backend' }, (drain) => setAdminState(state, source, drain, 'draining'))
    .with({ type: 'cancel-drain' }, (cancel) => setAdminState(state, source, cancel, 'active'))
    .with({ type: 'retire-backend' }, (retire) => retireBackend(state, source, retire))
    .with({ type: 'plan-change' }, (plan) => planChange(source, plan))
    .with({ type: 'cancel-plan' }, (cancel) => cancelPlan(source, cancel))
    .exhaustive();
}

function commit(state: ClusterState, owner: OwnerState, decision: Decision): AcceptedOutcome {
  const { changes, service, backend, quarantined, planned, cancelledPlanId } = decision;
  for (const change of changes) {
    applyToConfig(state.routing, state.lookup, change);
    if (change.type === 'backend-set') {
      state.quarantine.delete(formatAddress(change.backend.address));
    }
  }
  if (quarantined !== undefined) {
    state.quarantine.set(formatAddress(quarantined.address), quarantined);
  }
  if (planned !== undefined) {
    owner.plans.set(planned.id, planned);
  }
  if (cancelledPlanId !== undefined) {
    owner.plans.delete(cancelledPlanId);
  }
  return {
    accepted: true,
    index: state.index,
    revision: recordRevision(
      owner,
      state.index,
      service && { serviceId: service.id, version: service.version },
    ),
    ...(service && { serviceId: service.id, version: service.version }),
    ...(backend && { backendId: backend.id }),
    ...(planned && { planId: planned.id }),
  };
}

/** Executes a due planned change and deletes it, so that a duplicate entry gets `not-found`. */
function runPlannedChange(state: ClusterState, name: string, planId: number): AppliedEntry {
  const operator = state.operators.get(name);
  const owner = state.owners.get(name);
  const plan = owner?.plans.get(planId);
  if (operator === undefined || owner === undefined || plan === undefined) {
    return refusal(amberliftError('not-found', 'There is no such planned change.'));
  }
  if (plan.atMs > state.timeMs) {
    return refusal(amberliftError('conflict', 'The planned change is not due.'));
  }
  owner.plans.delete(planId);
  const commandId = planExecutionId(plan);
  const applied = decideAndCommit(state, { operator, owner }, commandId, plan.change);
  audit(state, owner, commandId, plan.change, applied.outcome);
  return applied;
}

/** Command ID for the execution of a planned change in the audit log. */
function planExecutionId(plan: PlannedChange): string {
  return `${plan.commandId}/run`;
}

function auditedRefusal(
  state: ClusterState,
  owner: OwnerState,
  entry: CommandEntry,
  error: AmberliftError,
): AppliedEntry {
  const applied = refusal(error);
  audit(state, owner, entry.commandId, entry.command, applied.outcome);
  return applied;
}

function audit(
  state: ClusterState,
  owner: OwnerState,
  commandId: string,
  command: Command,
  outcome: CommandOutcome,
): void {
  const atMs = state.timeMs;
  recordAudit(owner, { atMs, operator: owner.name, commandId, command, outcome });
}

function refusal(error: AmberliftError): AppliedEntry {
  return { outcome: { accepted: false, error }, changes: [] };
}
