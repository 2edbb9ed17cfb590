/**
 * @file Applies configuration updates and maintains the tables derived from the configuration: services by address,
 * prepared token keys, back end views and probe targets. Packets then need only table lookups.
 */
import { match } from 'ts-pattern';
import { addressKey } from '../../shared/common/address.js';
import {
  applyConfigChange,
  isNewerPosition,
  type ConfigChange,
  type ConfigUpdate,
} from '../control/config-delta.js';
import type { Backend, RoutingConfig } from '../control/routing-config.js';
import { prepareTokenKey } from '../flow/token.js';
import { forgetResult } from '../health/health-sharing.js';
import { removeProbeTarget, setProbeTarget } from '../health/probe-schedule.js';
import { createBackendView } from './backend-view.js';
import type { BalancerState } from './balancer-state.js';

/**
 * Applies a configuration update if it is newer than the current one. A delta must also start at the current index.
 * @returns true if the update was applied
 */
export function applyConfigUpdate(state: BalancerState, update: ConfigUpdate): boolean {
  if (!isNewerPosition(update.to, state.position)) {
    return false;
  }
  if (update.type === 'delta' && update.from.index !== state.position.index) {
    return false;
  }
  if (update.type === 'snapshot') {
    replaceConfig(state.config, update);
    rebuildTables(state);
  } else {
    update.changes.forEach((change) => applyChange(state, change));
  }
  state.position = update.to;
  return true;
}

/** Applies one change and updates only the table entries that depend on it. */
function applyChange(state: BalancerState, change: ConfigChange): void {
  const { config } = state;
  if (change.type === 'service-set') {
    removeServiceAddress(state, change.service.id);
    state.servicesByAddress.set(addressKey(change.service.address), change.service);
  } else if (change.type === 'service-removed') {
    removeServiceAddress(state, change.serviceId);
  }
  applyConfigChange(config, change);
  match(change)
    .with({ type: 'backend-set' }, ({ backend }) => setView(state, backend))
    .with({ type: 'backend-removed' }, ({ backendId }) => deleteView(state, backendId))
    .with({ type: 'key-set' }, { type: 'key-removed' }, () => rebuildKeys(state))
    .with({ type: 'service-set' }, { type: 'service-removed' }, () => undefined)
    .exhaustive();
}

/** Keeps the entry if the address now belongs to another service. */
function removeServiceAddress(state: BalancerState, serviceId: number): void {
  const previous = state.config.services.get(serviceId);
  const key = previous === undefined ? undefined : addressKey(previous.address);
  if (key !== undefined && state.servicesByAddress.get(key)?.id === serviceId) {
    state.servicesByAddress.delete(key);
  }
}

function replaceConfig(
  config: RoutingConfig,
  snapshot: Extract<ConfigUpdate, { type: 'snapshot' }>,
): void {
  config.services.clear();
  config.backends.clear();
  config.keys.clear();
  snapshot.services.forEach((service) => config.services.set(service.id, service));
  snapshot.backends.forEach((backend) => config.backends.set(backend.id, backend));
  snapshot.keys.forEach((key) => config.keys.set(key.id, key));
}

function rebuildTables(state: BalancerState): void {
  state.servicesByAddress.clear();
  for (const service of state.config.services.values()) {
    state.servicesByAddress.set(addressKey(service.address), service);
  }
  rebuildKeys(state);
  rebuildViews(state);
}

function rebuildKeys(state: BalancerState): void {
  state.preparedKeys.clear();
  state.currentKeyId = undefined;
  for (const key of state.config.keys.values()) {
    state.preparedKeys.set(key.id, prepareTokenKey(key.secret));
    if (key.state === 'current') {
      state.currentKeyId = key.id;
    }
  }
}

function rebuildViews(state: BalancerState): void {
  for (const id of state.views.keys()) {
    if (!state.config.backends.has(id)) {
      deleteView(state, id);
    }
  }
  for (const backend of state.config.backends.values()) {
    setView(state, backend);
  }
}

function deleteView(state: BalancerState, backendId: number): void {
  state.views.delete(backendId);
  removeProbeTarget(state.probes, backendId);
  forgetResult(state.sharing, backendId);
}

function setView(state: BalancerState, backend: Backend): void {
  setProbeTarget(state.probes, backend);
  const view = state.views.get(backend.id);
  if (view === undefined) {
    state.views.set(backend.id, createBackendView(backend));
  } else {
    view.backend = backend;
  }
}
