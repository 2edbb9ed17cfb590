/**
 * @file Admission of new back ends. A back end may start before a configuration names its service. A limited number of
 * such back ends is kept, so that they serve as soon as the configuration is declared; they are not listed durably
 * (backend-list.ts). Heartbeats that are not admitted are not acknowledged, so the back end retries.
 */
import type { BackendRecord } from '../../registry/backend-record.js';
import type { GroupState } from '../group-state.js';

/** State that admission depends on. */
type AdmissionState = Pick<GroupState, 'configs' | 'registry'>;

/** Limits memory, because any client can name any service; leaves room for services that start before their configuration. */
const MAX_UNCONFIGURED_BACKENDS = 1_000;

/** @returns true if heartbeats of this back end are accepted */
export function admitsBackend(state: AdmissionState, { id, service }: BackendRecord): boolean {
  const { registry } = state;
  return (
    isConfiguredService(state, service) ||
    registry.get(id) !== undefined ||
    countUnconfigured(state) < MAX_UNCONFIGURED_BACKENDS
  );
}

/** @returns true if the current configuration contains the service */
export function isConfiguredService(
  { configs }: Pick<GroupState, 'configs'>,
  service: string,
): boolean {
  return configs.config?.services.some(({ name }) => name === service) ?? false;
}

function countUnconfigured(state: AdmissionState): number {
  const records = [...state.registry.all()];
  return records.filter(({ record }) => !isConfiguredService(state, record.service)).length;
}
