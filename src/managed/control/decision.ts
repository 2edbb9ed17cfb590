/**
 * @file Checks shared by operator commands: ownership, service versions and use of addresses. Another operator's
 * service or back end is reported as `not-found`, so that operators cannot discover each other's entities. Functions
 * here do not modify the state; `apply-command.ts` commits the decision.
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

/** The sender of a command, and the position and time of its log entry. */
export interface CommandSource {
  readonly operator: Operator;
  readonly owner: OwnerState;
  readonly commandId: string;
  /** Index of the log entry. */
  readonly index: number;
  /** Replicated time in Unix milliseconds. */
  readonly timeMs: number;
}

/** The changes to the replicated state that an accepted command makes. */
export interface Decision {
  readonly changes: readonly ConfigChange[];
  readonly service?: Service;
  readonly backend?: Backend;
  readonly quarantined?: QuarantinedAddress;
  readonly planned?: PlannedChange;
  readonly cancelledPlanId?: number;
}

/** A decision, or the error with which the command is refused. */
export type DecisionResult = Result<Decision, AmberliftError>;

/**
 * @returns a decision that increments the version of the service and makes the other changes
 */
export function serviceChange(service: Service, ...others: ConfigChange[]): Decision {
  const changed = { ...service, version: service.version + 1 };
  return { changes: [{ type: 'service-set', service: changed }, ...others], service: changed };
}

/**
 * @returns the operator's service; `not-found` also if another operator owns it; `conflict` for another version
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
 * @returns the operator's back end and its service; `not-found` also if another operator owns it; `conflict` for
 *   another version of the service
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
 * Checks that an address may be added to a service: granted to the operator, not in use and not in quarantine.
 * @param serviceId the service it joins, undefined for a new one; a quarantined address may rejoin its former service
 */
export function checkAddressFree(
  state: ClusterState,
  operator: Operator,
  address: Address,
  serviceId: number | undefined,
): Result<undefined, AmberliftError> {
  const text = formatAddress(address);
  if (!isGranted(state, operator, (range) => rangeContains(range, address))) {
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
 * Checks that the host of a health address is granted to the operator; its port may be any.
 */
export function checkHealthAddress(
  state: ClusterState,
  operator: Operator,
  address: Address,
): Result<undefined, AmberliftError> {
  return isGranted(state, operator, (range) => rangeContainsHost(range, address.host))
    ? ok(undefined)
    : err(amberliftError('unauthorized', `Host ${address.host} is not granted to you.`));
}

type RangePredicate = (range: NonNullable<ReturnType<typeof parseAddressRange>>) => boolean;

function isGranted(state: ClusterState, operator: Operator, isInRange: RangePredicate): boolean {
  if (operator.addressRanges !== undefined) {
    return matchesAnyRange(operator.addressRanges, isInRange);
  }
  for (const other of state.operators.values()) {
    if (matchesAnyRange(other.addressRanges ?? [], isInRange)) {
      return false;
    }
  }
  return true;
}

function matchesAnyRange(rangeTexts: readonly string[], isInRange: RangePredicate): boolean {
  return rangeTexts.some((text) => {
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
