/**
 * @file Answers operator queries from the replicated state. Entities of other operators give the same `not-found`
 * error as entities that do not exist, so that an operator cannot learn about them.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { amberliftError, type AmberliftError } from '../../../shared/common/error-kinds.js';
import type { AuditEntry, OwnerState } from '../cluster-state.js';
import { commandIssueTimeMs } from '../command-id.js';
import { ownedBackend, ownedService } from '../decision.js';
import type { OperatorQuery } from '../queries.js';
import {
  backendsOf,
  ownedServices,
  viewAuditEntry,
  viewBackend,
  viewPlan,
  viewService,
  visibleOutcome,
  type ViewSource,
} from './entity-views.js';
import { laggingBalancers, summarizeInForce } from './in-force.js';
import type { BackendView, QueryResult, RollingChangeView } from './view-types.js';

type QueryOutcome = Result<QueryResult, AmberliftError>;

/**
 * @returns the answer to the operator's query, or `not-found`
 */
export function answerQuery(source: ViewSource, query: OperatorQuery): QueryOutcome {
  const { owner, inForce, load } = source;
  return match(query)
    .returnType<QueryOutcome>()
    .with({ type: 'services' }, ({ type }) =>
      ok({ type, services: ownedServices(source).map((service) => viewService(source, service)) }),
    )
    .with({ type: 'service' }, ({ service }) => showService(source, service))
    .with({ type: 'backends' }, ({ service }) => showBackends(source, service))
    .with({ type: 'changes' }, ({ type }) =>
      ok({
        type,
        planned: [...owner.plans.values()]
          .sort((one, other) => one.atMs - other.atMs || one.id - other.id)
          .map(viewPlan),
        rollingOut: rollingChanges(source),
      }),
    )
    .with({ type: 'in-force' }, { type: 'balancers' }, ({ type }) =>
      ok({ type, ...summarizeInForce(owner, inForce) }),
    )
    .with({ type: 'capacity' }, ({ type }) =>
      ok({
        type,
        balancerCount: inForce.balancers.length,
        ...(load.totalConnections !== undefined && { totalConnections: load.totalConnections }),
      }),
    )
    .with({ type: 'audit' }, ({ type, last }) =>
      ok({ type, entries: owner.auditLog.slice(-(last ?? Infinity)).map(viewAuditEntry) }),
    )
    .with({ type: 'explain-backend' }, ({ backendId }) => explainBackend(source, backendId))
    .with({ type: 'explain-command' }, ({ commandId }) => explainCommand(source, commandId))
    .exhaustive();
}

function showService(source: ViewSource, name: string): QueryOutcome {
  const { state, owner } = source;
  return ownedService(state, owner.name, name, undefined).map((service) => ({
    type: 'service',
    service: viewService(source, service),
    backends: backendsOf(source, service).map((backend) => viewBackend(source, service, backend)),
  }));
}

function showBackends(source: ViewSource, name: string | undefined): QueryOutcome {
  const { state, owner } = source;
  const services =
    name === undefined
      ? ok(ownedServices(source))
      : ownedService(state, owner.name, name, undefined).map((service) => [service]);
  return services.map((list) => {
    const backends: BackendView[] = list.flatMap((service) =>
      backendsOf(source, service).map((backend) => viewBackend(source, service, backend)),
    );
    return { type: 'backends', backends };
  });
}

/** Accepted changes that are not in force on every balancer, oldest first. */
function rollingChanges({ owner, inForce }: ViewSource): RollingChangeView[] {
  return owner.auditLog.flatMap((entry) => {
    const revision = acceptedRevision(entry);
    const lagging = laggingBalancers(owner, revision, inForce);
    if (revision === 0 || lagging.length === 0) {
      return [];
    }
    const { commandId, statement } = viewAuditEntry(entry);
    return [{ revision, commandId, statement, lagging }];
  });
}

function explainBackend(source: ViewSource, backendId: number): QueryOutcome {
  const { state, owner } = source;
  return ownedBackend(state, owner.name, backendId, undefined).map(({ backend, service }) => ({
    type: 'explain-backend',
    backend: viewBackend(source, service, backend),
    service: viewService(source, service),
    planned: [...owner.plans.values()]
      .filter(({ change }) => 'backendId' in change && change.backendId === backendId)
      .map(viewPlan),
    history: owner.auditLog.filter((entry) => isAboutBackend(entry, backendId)).map(viewAuditEntry),
  }));
}

function explainCommand({ owner, inForce }: ViewSource, commandId: string): QueryOutcome {
  const entry = owner.auditLog.find((line) => line.commandId === commandId);
  const outcome = owner.commandRecords.get(commandId)?.outcome ?? entry?.outcome;
  if (outcome === undefined) {
    return err(commandNotFound(owner, commandId));
  }
  const run = owner.auditLog.find((line) => line.commandId === `${commandId}/run`);
  const revision = outcome.accepted ? (outcome.revision ?? 0) : 0;
  return ok({
    type: 'explain-command',
    commandId,
    outcome: visibleOutcome(outcome),
    ...(entry !== undefined && { entry: viewAuditEntry(entry) }),
    ...(run !== undefined && { run: viewAuditEntry(run) }),
    lagging: laggingBalancers(owner, revision, inForce),
  });
}

/** The outcome of a command is unknown once its record has expired. */
function commandNotFound(owner: OwnerState, commandId: string): AmberliftError {
  const issuedAtMs = commandIssueTimeMs(commandId);
  return issuedAtMs !== undefined && issuedAtMs <= owner.expiredUpToMs
    ? amberliftError(
        'command-expired',
        `Command ${commandId} is too old; its outcome is no longer stored.`,
      )
    : amberliftError('not-found', `You have not sent command ${commandId}.`);
}

function acceptedRevision({ outcome }: AuditEntry): number {
  return outcome.accepted ? (outcome.revision ?? 0) : 0;
}

function isAboutBackend({ command, outcome }: AuditEntry, backendId: number): boolean {
  const named = (command as { readonly backendId?: unknown }).backendId === backendId;
  return named || (outcome.accepted && outcome.backendId === backendId);
}
