/**
 * @file Builds the views of services, back ends, planned changes and audit log entries.
 */
import { formatCommand } from '../../language/format-command.js';
import type { AuditEntry, ClusterState, OwnerState, PlannedChange } from '../cluster-state.js';
import type { Backend, Service } from '../routing-config.js';
import { operatorCommandSchema, type CommandOutcome } from '../commands.js';
import type { LoadView } from './backend-load.js';
import { versionInForceEverywhere, type InForceView } from './in-force.js';
import type {
  AuditView,
  BackendView,
  PlanView,
  ServiceView,
  VisibleOutcome,
} from './view-types.js';

/** Data from which views are built. */
export interface ViewSource {
  readonly state: ClusterState;
  /** State of the operator that sent the query. */
  readonly owner: OwnerState;
  readonly inForce: InForceView;
  readonly load: LoadView;
}

/**
 * @returns the operator's services, in order of definition
 */
export function ownedServices({ state, owner }: ViewSource): Service[] {
  const ids = state.lookup.serviceIdsByOwner.get(owner.name) ?? [];
  return withoutUndefined([...ids].map((id) => state.routing.services.get(id)));
}

/**
 * @returns the back ends of a service, in order of addition
 */
export function backendsOf({ state }: ViewSource, service: Service): Backend[] {
  const ids = state.lookup.backendIdsByService.get(service.id) ?? [];
  return withoutUndefined([...ids].map((id) => state.routing.backends.get(id)));
}

/** Builds the view of a service. */
export function viewService(source: ViewSource, service: Service): ServiceView {
  const { id, name, address, policy, limits, version } = service;
  return {
    id,
    name,
    address,
    policy,
    limits,
    version,
    versionInForceEverywhere: versionInForceEverywhere(source.owner, service, source.inForce),
    backendCount: backendsOf(source, service).length,
  };
}

/** Builds the view of a back end, with its load if reported. */
export function viewBackend(source: ViewSource, service: Service, backend: Backend): BackendView {
  const { id, address, healthAddress, zone, adminState } = backend;
  const load = source.load.backends.get(id);
  return {
    id,
    service: service.name,
    address,
    healthAddress,
    zone,
    adminState,
    ...(load !== undefined && { load }),
  };
}

/** Builds the view of a planned change. */
export function viewPlan({ id, atMs, change, commandId }: PlannedChange): PlanView {
  return { id, atMs, statement: formatCommand(change), commandId };
}

/** Builds the view of an audit log entry. */
export function viewAuditEntry(entry: AuditEntry): AuditView {
  const { number, atMs, commandId, command, outcome } = entry;
  return {
    number,
    atMs,
    commandId,
    statement: describeCommand(command),
    outcome: visibleOutcome(outcome),
  };
}

/**
 * @returns the outcome without the log index, which would reveal the commands of other operators
 */
export function visibleOutcome(outcome: CommandOutcome): VisibleOutcome {
  if (!outcome.accepted) {
    return { accepted: false, error: outcome.error };
  }
  const { revision = 0, version, serviceId, backendId, planId } = outcome;
  return { accepted: true, revision, version, serviceId, backendId, planId };
}

/** Formats an operator command as a statement; anything else is shown as JSON. */
function describeCommand(command: unknown): string {
  const parsed = operatorCommandSchema.safeParse(command);
  return parsed.success ? formatCommand(parsed.data) : JSON.stringify(command);
}

function withoutUndefined<Item>(items: readonly (Item | undefined)[]): Item[] {
  return items.filter((item) => item !== undefined);
}
