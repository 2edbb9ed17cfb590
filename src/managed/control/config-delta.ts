/**
 * @file Configuration updates for balancers: snapshots and deltas, each with the log position after the update. A
 * receiver applies only newer ones. They are sent under these field names.
 */
import { match } from 'ts-pattern';
import type { Backend, RoutingConfig, Service, TokenKey } from './routing-config.js';

/** A position in the replicated log. */
export interface ConfigPosition {
  readonly term: number;
  readonly index: number;
}

/** One change to a service, back end or token key. */
export type ConfigChange =
  | { readonly type: 'service-set'; readonly service: Service }
  | { readonly type: 'service-removed'; readonly serviceId: number }
  | { readonly type: 'backend-set'; readonly backend: Backend }
  | { readonly type: 'backend-removed'; readonly backendId: number }
  | { readonly type: 'key-set'; readonly key: TokenKey }
  | { readonly type: 'key-removed'; readonly keyId: number };

/** All changes between two positions; applies only to a configuration at exactly `from.index`. */
export interface ConfigDelta {
  readonly type: 'delta';
  readonly from: ConfigPosition;
  readonly to: ConfigPosition;
  readonly changes: readonly ConfigChange[];
}

/** The whole configuration at a position. */
export interface ConfigSnapshot {
  readonly type: 'snapshot';
  readonly to: ConfigPosition;
  readonly services: readonly Service[];
  readonly backends: readonly Backend[];
  readonly keys: readonly TokenKey[];
}

/** A configuration update as sent to balancers. */
export type ConfigUpdate = ConfigDelta | ConfigSnapshot;

/**
 * @returns true if `candidate` has a higher index than `current` and a term that is not lower
 */
export function isNewerPosition(candidate: ConfigPosition, current: ConfigPosition): boolean {
  return candidate.index > current.index && candidate.term >= current.term;
}

/**
 * Applies one change to the configuration in place.
 */
export function applyConfigChange(config: RoutingConfig, change: ConfigChange): void {
  match(change)
    .with({ type: 'service-set' }, ({ service }) => config.services.set(service.id, service))
    .with({ type: 'service-removed' }, ({ serviceId }) => config.services.delete(serviceId))
    .with({ type: 'backend-set' }, ({ backend }) => config.backends.set(backend.id, backend))
    .with({ type: 'backend-removed' }, ({ backendId }) => config.backends.delete(backendId))
    .with({ type: 'key-set' }, ({ key }) => config.keys.set(key.id, key))
    .with({ type: 'key-removed' }, ({ keyId }) => config.keys.delete(keyId))
    .exhaustive();
}

/**
 * @returns a snapshot of the whole configuration at `position`
 */
export function snapshotOf(config: RoutingConfig, position: ConfigPosition): ConfigSnapshot {
  return {
    type: 'snapshot',
    to: position,
    services: [...config.services.values()],
    backends: [...config.backends.values()],
    keys: [...config.keys.values()],
  };
}
