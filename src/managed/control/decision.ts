/**
 * @file May this operator change this entity, and use this address? The checks that commands have in common, each with the
 * error that the operator gets:
 *
 * - a service or back end that is another operator's is `not-found`, like one that does not exist;
 * - a change based on an outdated version of the service is a `conflict`;
 * - an address must be granted to the operator (`unauthorized`), free, and not in quarantine (`conflict`).
 *
 * Commands of partners that race each other are thus decided by the order of the log, and version numbers count per service,
 * so equal numbers of two partners never meet. Functions here change nothing; `apply-command.ts` commits the decision.
 */
import { err, ok, type Result } from 'neverthrow';
import { formatAddress, type Address } from '../../shared/common/address.js';
import {
  parseAddressRange,
  rangeContains,
  rangeContainsHost,
} from '../../shared/common/address-range.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type {
  ClusterState,
  Operator,
  OwnerState,
  PlannedChange,
  QuarantinedAddress,
} from './cluster-state.js';
import type { Backend, Service } from './routing-config.js';
import { serviceNameKey } from './config-lookup.js';
import type { ConfigChange } from './config-delta.js';

/** The sender of a command, and when it was accepted into the log. */
export interface CommandSource {
  readonly operator: Operator;
  readonly owner: OwnerState;
  readonly commandId: string;
  /** Index of the entry. */
  readonly index: number;
  /** Replicated time in Unix milliseconds. */
  readonly timeMs: number;
}

/** What an accepted command changes. */
export interface Decision {
  readonly changes: readonly ConfigChange[];
  readonly service?: Service;
  readonly backend?: Backend;
  readonly quarantined?: QuarantinedAddress;
  readonly planned?: PlannedChange;
  readonly cancelledPlanId?: number;
}

/** A decision, or why the command is refused. */
export type DecisionResult = Result<Decision, AmberliftError>;

/**
 * @returns the decision that sets the service, counted as a new version, with other changes
 */
export function serviceChange(service: Service, ...others: ConfigChange[]): Decision {
  const changed = { ...service, version: service.version + 1 };
  return { changes: [{ type: 'service-set', service: changed }, ...others], service: changed };
}

/**
 * @returns the operator's service of that name, or `not-found` whether or not another has it
 */
export function ownedService(
  state: ClusterState,
  operator: string,
  name: string,
  basedOnVersion: number | undefined,
): Result<Service, AmberliftError> {
  const id = state.lookup.serviceIdsByName.get(serviceNameKey(operator, name));
  const service = id === undefined ? undefined : state.routing.services.get(id);
  if (service === undefined) {
    return err(amberliftError('not-found', `You have no service ${name}.`));
  }
  return checkVersion(service, basedOnVersion);
}

/** A back end with its service. */
interface OwnedBackend {
  readonly backend: Backend;
  readonly service: Service;
}

/**
 * @returns the operator's back end of that ID, or `not-found` whether or not another has it
 */
export function ownedBackend(
  state: ClusterState,
  operator: string,
  backendId: number,
  basedOnVersion: number | undefined,
): Result<OwnedBackend, AmberliftError> {
  const backend = state.routing.backends.get(backendId);
  const service = backend && state.routing.services.get(backend.serviceId);
  if (backend === undefined || service?.owner !== operator) {
    return err(amberliftError('not-found', `You have no back end ${backendId}.`));
  }
  return checkVersion(service, basedOnVersion).map(() => ({ backend, service }));
}

/**
 * Checks that an address may join a service: it is granted to the operator, in use by nobody, and
 * not in quarantine.
 * @param serviceId the service that it joins; an address may come back to the service it left
 */
export function checkAddressFree(
  state: ClusterState,
  operator: Operator,
  address: Address,
  serviceId: number | undefined,
): Result<undefined, AmberliftError> {
  const text = formatAddress(address);
  if (!mayUse(state, operator, (range) => rangeContains(range, address))) {
    return err(amberliftError('unauthorized', `Address ${text} is not granted to you.`));
  }
  if (state.lookup.addressUses.has(text)) {
    return err(amberliftError('conflict', `Address ${text} is not free.`));
  }
  const quarantined = state.quarantine.get(text);
  if (quarantined !== undefined && quarantined.formerServiceId !== serviceId) {
    const message =
      `Address ${text} left a service a moment ago, and some balancers may not know it yet; ` +
      'send a new command in a few seconds.';
    return err(amberliftError('conflict', message));
  }
  return ok(undefined);
}

/**
 * Checks that a health address is on a machine that is granted to the operator.
 */
export function checkHealthAddress(
  state: ClusterState,
  operator: Operator,
  address: Address,
): Result<undefined, AmberliftError> {
  return mayUse(state, operator, (range) => rangeContainsHost(range, address.host))
    ? ok(undefined)
    : err(amberliftError('unauthorized', `Host ${address.host} is not granted to you.`));
}

type RangeTest = (range: NonNullable<ReturnType<typeof parseAddressRange>>) => boolean;

function mayUse(state: ClusterState, operator: Operator, isInRange: RangeTest): boolean {
  if (operator.addressRanges !== undefined) {
    return someRange(operator.addressRanges, isInRange);
  }
  for (const other of state.operators.values()) {
    if (someRange(other.addressRanges ?? [], isInRange)) {
      return false;
    }
  }
  return true;
}

function someRange(texts: readonly string[], isInRange: RangeTest): boolean {
  return texts.some((text) => {
    const range = parseAddressRange(text);
    return range !== undefined && isInRange(range);
  });
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
