/**
 * @file The replicated step: applies one log entry to the cluster state. Deterministic; every
 * control machine that applies the same entries holds the same state. Authority is checked here,
 * not only at the door.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { formatAddress } from '../common/address.js';
import { amberliftError, type AmberliftError } from '../flow/error-kinds.js';
import type { Backend, ClusterState, Service } from './cluster-state.js';
import { commandRecordKey } from './cluster-state.js';
import { commandHash } from './command-hash.js';
import {
  SYSTEM_OPERATOR,
  type Command,
  type CommandEntry,
  type CommandOutcome,
  type OperatorCommand,
  type SystemCommand,
} from './commands.js';
import { applyConfigChange, type ConfigChange, type ConfigPosition } from './config-update.js';

/** What applying an entry gave. */
export interface AppliedEntry {
  readonly outcome: CommandOutcome;
  /** Changes of the configuration, for balancers; empty where the command was refused. */
  readonly changes: readonly ConfigChange[];
}

interface Decision {
  readonly changes: readonly ConfigChange[];
  readonly service?: Service;
  readonly backend?: Backend;
}

type DecisionResult = Result<Decision, AmberliftError>;

/**
 * Applies the entry at `position` and records its outcome under its command ID.
 * @returns the outcome; for a command ID seen before, the outcome of the first time
 */
export function applyCommand(
  state: ClusterState,
  position: ConfigPosition,
  entry: CommandEntry,
): AppliedEntry {
  state.index = position.index;
  state.term = position.term;
  const recordKey = commandRecordKey(entry.operator, entry.commandId);
  const hash = commandHash(entry.command);
  const earlier = state.commandRecords.get(recordKey);
  if (earlier !== undefined) {
    return { outcome: repeatedOutcome(earlier.commandHash, hash, earlier.outcome), changes: [] };
  }
  const applied = decideAndApply(state, position, entry);
  state.commandRecords.set(recordKey, {
    commandId: entry.commandId,
    operator: entry.operator,
    commandHash: hash,
    outcome: applied.outcome,
    index: position.index,
  });
  return applied;
}

function repeatedOutcome(
  earlierHash: string,
  hash: string,
  earlierOutcome: CommandOutcome,
): CommandOutcome {
  if (earlierHash === hash) {
    return earlierOutcome;
  }
  const message = 'This command ID was used for another command.';
  return { accepted: false, error: amberliftError('command-id-reused', message) };
}

function decideAndApply(
  state: ClusterState,
  position: ConfigPosition,
  entry: CommandEntry,
): AppliedEntry {
  const decision = decide(state, entry);
  if (decision.isErr()) {
    return { outcome: { accepted: false, error: decision.error }, changes: [] };
  }
  const { changes, service, backend } = decision.value;
  for (const change of changes) {
    applyConfigChange(state.routing, change);
  }
  const outcome: CommandOutcome = {
    accepted: true,
    index: position.index,
    ...(service && { serviceId: service.id, version: service.version }),
    ...(backend && { backendId: backend.id }),
  };
  return { outcome, changes };
}

function decide(state: ClusterState, entry: CommandEntry): DecisionResult {
  if (isSystemCommand(entry.command)) {
    return entry.operator === SYSTEM_OPERATOR
      ? decideSystemCommand(state, entry.command)
      : err(amberliftError('unauthorized', 'Only the system may send this command.'));
  }
  if (!state.operators.has(entry.operator)) {
    return err(amberliftError('unauthorized', 'No such operator.'));
  }
  return decideOperatorCommand(state, entry.operator, entry.command);
}

function isSystemCommand(command: Command): command is SystemCommand {
  return command.type === 'set-operators' || command.type === 'set-token-key';
}

function decideSystemCommand(state: ClusterState, command: SystemCommand): DecisionResult {
  return match(command)
    .with({ type: 'set-operators' }, ({ operators }) => {
      for (const operator of operators) {
        state.operators.set(operator.name, operator);
      }
      return ok({ changes: [] });
    })
    .with({ type: 'set-token-key' }, ({ id, secret, state: keyState }) =>
      ok({ changes: [{ type: 'key-set' as const, key: { id, secret, state: keyState } }] }),
    )
    .exhaustive();
}

function decideOperatorCommand(
  state: ClusterState,
  operator: string,
  command: OperatorCommand,
): DecisionResult {
  return match(command)
    .with({ type: 'define-service' }, (define) => defineService(state, operator, define))
    .with({ type: 'change-service' }, (change) =>
      ownedService(state, operator, change.service, change.basedOnVersion).map((service) =>
        serviceChange({
          ...service,
          policy: change.policy ?? service.policy,
          limits: { ...service.limits, ...change.limits },
        }),
      ),
    )
    .with({ type: 'retire-service' }, (retire) =>
      ownedService(state, operator, retire.service, retire.basedOnVersion).andThen((service) =>
        retireService(state, service),
      ),
    )
    .with({ type: 'add-backend' }, (add) =>
      ownedService(state, operator, add.service, add.basedOnVersion).andThen((service) =>
        addBackend(state, service, add),
      ),
    )
    .with({ type: 'drain-backend' }, (drain) =>
      backendChange(state, operator, drain, (backend) => ({
        type: 'backend-set',
        backend: { ...backend, adminState: 'draining' },
      })),
    )
    .with({ type: 'cancel-drain' }, (cancel) =>
      backendChange(state, operator, cancel, (backend) => ({
        type: 'backend-set',
        backend: { ...backend, adminState: 'active' },
      })),
    )
    .with({ type: 'retire-backend' }, (retire) =>
      backendChange(state, operator, retire, (backend) => ({
        type: 'backend-removed',
        backendId: backend.id,
      })),
    )
    .exhaustive();
}

function serviceChange(service: Service, ...others: ConfigChange[]): Decision {
  const changed = { ...service, version: service.version + 1 };
  return { changes: [{ type: 'service-set', service: changed }, ...others], service: changed };
}

function defineService(
  state: ClusterState,
  operator: string,
  command: Extract<OperatorCommand, { type: 'define-service' }>,
): DecisionResult {
  const services = [...state.routing.services.values()];
  if (services.some((service) => service.owner === operator && service.name === command.service)) {
    return err(amberliftError('conflict', `Service ${command.service} is already defined.`));
  }
  const wanted = formatAddress(command.address);
  if (services.some((service) => formatAddress(service.address) === wanted)) {
    return err(amberliftError('conflict', `Address ${wanted} is not free.`));
  }
  const service: Service = {
    id: state.nextServiceId,
    name: command.service,
    owner: operator,
    address: command.address,
    policy: command.policy,
    limits: command.limits,
    version: 1,
  };
  state.nextServiceId += 1;
  return ok({ changes: [{ type: 'service-set', service }], service });
}

function retireService(state: ClusterState, service: Service): DecisionResult {
  const backends = [...state.routing.backends.values()];
  if (backends.some((backend) => backend.serviceId === service.id)) {
    return err(amberliftError('conflict', `Service ${service.name} still has back ends.`));
  }
  return ok({ changes: [{ type: 'service-removed', serviceId: service.id }], service });
}

function addBackend(
  state: ClusterState,
  service: Service,
  command: Extract<OperatorCommand, { type: 'add-backend' }>,
): DecisionResult {
  const wanted = formatAddress(command.address);
  const backends = [...state.routing.backends.values()];
  if (backends.some((backend) => formatAddress(backend.address) === wanted)) {
    return err(amberliftError('conflict', `Address ${wanted} is not free.`));
  }
  const backend: Backend = {
    id: state.nextBackendId,
    serviceId: service.id,
    address: command.address,
    healthAddress: command.healthAddress,
    zone: command.zone,
    adminState: 'active',
  };
  state.nextBackendId += 1;
  return ok({ ...serviceChange(service, { type: 'backend-set', backend }), backend });
}

function backendChange(
  state: ClusterState,
  operator: string,
  command: { readonly backendId: number; readonly basedOnVersion?: number | undefined },
  change: (backend: Backend) => ConfigChange,
): DecisionResult {
  const backend = state.routing.backends.get(command.backendId);
  const service = backend && state.routing.services.get(backend.serviceId);
  if (backend === undefined || service?.owner !== operator) {
    return err(amberliftError('not-found', `You have no back end ${command.backendId}.`));
  }
  return checkVersion(service, command.basedOnVersion).map(() => ({
    ...serviceChange(service, change(backend)),
    backend,
  }));
}

function ownedService(
  state: ClusterState,
  operator: string,
  name: string,
  basedOnVersion: number | undefined,
): Result<Service, AmberliftError> {
  for (const service of state.routing.services.values()) {
    if (service.owner === operator && service.name === name) {
      return checkVersion(service, basedOnVersion);
    }
  }
  return err(amberliftError('not-found', `You have no service ${name}.`));
}

function checkVersion(
  service: Service,
  basedOnVersion: number | undefined,
): Result<Service, AmberliftError> {
  if (basedOnVersion === undefined || basedOnVersion === service.version) {
    return ok(service);
  }
  const message = `Service ${service.name} is at version ${service.version}, not ${basedOnVersion}.`;
  return err(amberliftError('conflict', message));
}
