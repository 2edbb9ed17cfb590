/** @file Consistency checks of a declared configuration that its schema (parse-config.ts) can't express. */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { DeclaredConfig, DeclaredRoute } from './declared-config.js';
import { receiverFault, toReceivable } from './receivable-config.js';

/** @returns the configuration as declared, or an `invalid-command` error that describes the first fault */
export function checkDeclaredConfig(
  config: DeclaredConfig,
): Result<DeclaredConfig, AmberliftError> {
  const fault =
    versionFault(config) ??
    serviceFault(config) ??
    routesFault(config) ??
    receiverFault(toReceivable(config));
  return fault === undefined ? ok(config) : err(amberliftError('invalid-command', fault));
}

function versionFault({ version }: DeclaredConfig): string | undefined {
  return Number.isSafeInteger(version) && version > 0
    ? undefined
    : 'The version must be a positive integer.';
}

function serviceFault({ services }: DeclaredConfig): string | undefined {
  const names = new Set<string>();
  for (const { name } of services) {
    if (names.has(name)) {
      return `Service ${name} is declared twice.`;
    }
    names.add(name);
  }
  return undefined;
}

function routesFault({ routes, services }: DeclaredConfig): string | undefined {
  const serviceNames = new Set(services.map(({ name }) => name));
  const addresses = new Set<string>();
  for (const route of routes) {
    const address = `${route.host}:${route.port}`;
    if (addresses.has(address)) {
      return `Two routes have the address ${address}.`;
    }
    addresses.add(address);
    const fault = routeFault(route, serviceNames);
    if (fault !== undefined) {
      return fault;
    }
  }
  return undefined;
}

function routeFault(route: DeclaredRoute, serviceNames: ReadonlySet<string>): string | undefined {
  const { name, targets, timeoutMs } = route;
  if (timeoutMs === 0 || Number.isNaN(timeoutMs)) {
    return `Route ${name} has no valid timeout.`;
  }
  const unknown = targets.find(({ service }) => !serviceNames.has(service));
  if (unknown !== undefined) {
    return `Route ${name} names the unknown service ${unknown.service}.`;
  }
  const hasBadWeight = targets.some(({ weight }) => !(weight >= 0 && Number.isFinite(weight)));
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  return hasBadWeight || !(totalWeight > 0) ? `Route ${name} has no valid weights.` : undefined;
}
