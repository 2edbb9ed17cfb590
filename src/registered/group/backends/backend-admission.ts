/**
 * @file Is a back end that is not known yet admitted?
 *
 * Inputs: the service that it names, the services of the configuration in force, and the back ends that are known.
 * Returns whether it is admitted; where it is not, its heartbeat is not acknowledged, and it may be sent again later.
 *
 * A back end whose service no configuration names takes no flow. It may have started before the configuration that
 * names its service is declared, so some are kept and serve at once then; but anybody may name any service, so no more
 * than MAX_UNNAMED are, and none of them is listed durably (backend-list.ts).
 *
 * Log line: `backend registered`, which these lack; calls `heartbeat unavailable` in `amberlift_group_calls_total`.
 */
import type { BackendRecord } from '../../registry/backend-record.js';
import type { GroupState } from '../group-state.js';

/** What admission goes by. */
type AdmissionState = Pick<GroupState, 'configs' | 'registry'>;

/**
 * Back ends without a named service that are kept. Some 300 bytes each here and at each balancer, so 0.3 MB of the 64 MB
 * that control may take; services that start before their configuration have some hundred. Not measured; too few
 * would show as back ends that serve an interval later than the configuration says.
 */
const MAX_UNNAMED = 1_000;

/** @returns true where a heartbeat with this record counts */
export function admitsBackend(state: AdmissionState, { id, service }: BackendRecord): boolean {
  const { registry } = state;
  return (
    isNamedService(state, service) ||
    registry.get(id) !== undefined ||
    countUnnamed(state) < MAX_UNNAMED
  );
}

/** @returns true where the configuration in force has the service */
export function isNamedService({ configs }: Pick<GroupState, 'configs'>, service: string): boolean {
  return configs.config?.services.some(({ name }) => name === service) ?? false;
}

function countUnnamed(state: AdmissionState): number {
  const records = [...state.registry.all()];
  return records.filter(({ record }) => !isNamedService(state, record.service)).length;
}
