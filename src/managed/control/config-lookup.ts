/**
 * @file Lookup tables that find services and back ends by name, owner, service or address. They are derived from the
 * routing configuration and updated with it by `applyToConfig`.
 */
import { match } from 'ts-pattern';
import { formatAddress } from '../../shared/common/address.js';
import type { Backend, RoutingConfig, Service } from './routing-config.js';
import { applyConfigChange, type ConfigChange } from './config-delta.js';

/** The service or back end that uses an address. */
interface AddressUse {
  readonly usedBy: 'service' | 'backend';
  readonly id: number;
}

/** Lookup tables of a routing configuration. */
export interface ConfigLookup {
  /** Service ID by `owner/name`, see `serviceNameKey`. */
  readonly serviceIdsByName: Map<string, number>;
  /** Service IDs by owner, in the order of definition. */
  readonly serviceIdsByOwner: Map<string, Set<number>>;
  /** Back end IDs by service ID, in the order of addition. */
  readonly backendIdsByService: Map<number, Set<number>>;
  /** By formatted address. */
  readonly addressUses: Map<string, AddressUse>;
}

/**
 * @returns the lookup tables of an empty configuration
 */
export function emptyConfigLookup(): ConfigLookup {
  return {
    serviceIdsByName: new Map(),
    serviceIdsByOwner: new Map(),
    backendIdsByService: new Map(),
    addressUses: new Map(),
  };
}

/**
 * Builds the lookup tables of a configuration read from a snapshot.
 */
export function buildConfigLookup(routing: RoutingConfig): ConfigLookup {
  const lookup = emptyConfigLookup();
  routing.services.forEach((service) => addService(lookup, service));
  routing.backends.forEach((backend) => addBackend(lookup, backend));
  return lookup;
}

/**
 * Applies one change to the configuration and its lookup tables in place.
 */
export function applyToConfig(
  routing: RoutingConfig,
  lookup: ConfigLookup,
  change: ConfigChange,
): void {
  match(change)
    .with({ type: 'service-set' }, ({ service }) => addService(lookup, service))
    .with({ type: 'backend-set' }, ({ backend }) => addBackend(lookup, backend))
    .with({ type: 'service-removed' }, ({ serviceId }) =>
      removeService(lookup, routing.services.get(serviceId)),
    )
    .with({ type: 'backend-removed' }, ({ backendId }) =>
      removeBackend(lookup, routing.backends.get(backendId)),
    )
    .with({ type: 'key-set' }, { type: 'key-removed' }, () => undefined)
    .exhaustive();
  applyConfigChange(routing, change);
}

/**
 * @returns the key of `serviceIdsByName`
 */
export function serviceNameKey(owner: string, name: string): string {
  return `${owner}/${name}`;
}

function addService(lookup: ConfigLookup, service: Service): void {
  lookup.serviceIdsByName.set(serviceNameKey(service.owner, service.name), service.id);
  lookup.addressUses.set(formatAddress(service.address), { usedBy: 'service', id: service.id });
  getOrCreateSet(lookup.serviceIdsByOwner, service.owner).add(service.id);
}

function removeService(lookup: ConfigLookup, service: Service | undefined): void {
  if (service !== undefined) {
    lookup.serviceIdsByName.delete(serviceNameKey(service.owner, service.name));
    lookup.addressUses.delete(formatAddress(service.address));
    lookup.serviceIdsByOwner.get(service.owner)?.delete(service.id);
    lookup.backendIdsByService.delete(service.id);
  }
}

function addBackend(lookup: ConfigLookup, backend: Backend): void {
  lookup.addressUses.set(formatAddress(backend.address), { usedBy: 'backend', id: backend.id });
  getOrCreateSet(lookup.backendIdsByService, backend.serviceId).add(backend.id);
}

function removeBackend(lookup: ConfigLookup, backend: Backend | undefined): void {
  if (backend !== undefined) {
    lookup.addressUses.delete(formatAddress(backend.address));
    lookup.backendIdsByService.get(backend.serviceId)?.delete(backend.id);
  }
}

function getOrCreateSet<Key>(sets: Map<Key, Set<number>>, key: Key): Set<number> {
  const existing = sets.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created = new Set<number>();
  sets.set(key, created);
  return created;
}
