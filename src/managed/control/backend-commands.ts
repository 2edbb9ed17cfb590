/**
 * @file Commands that add, drain and retire back ends.
 */
import { err, ok } from 'neverthrow';
import { amberliftError } from '../../shared/common/error-kinds.js';
import type { ClusterState } from './cluster-state.js';
import type { Backend, BackendAdminState } from './routing-config.js';
import type { ChangeCommand } from './commands.js';
import {
  checkAddressFree,
  checkHealthAddress,
  ownedBackend,
  ownedService,
  serviceChange,
  type CommandSource,
  type DecisionResult,
} from './decision.js';
import { idInBlock } from './id-blocks.js';

const MAX_BACKENDS_PER_SERVICE = 2_000;

/** Fields shared by all commands on an existing back end. */
interface BackendReference {
  readonly backendId: number;
  readonly basedOnVersion?: number | undefined;
}

/** Adds a back end to a service. */
export function addBackend(
  state: ClusterState,
  source: CommandSource,
  command: Extract<ChangeCommand, { type: 'add-backend' }>,
): DecisionResult {
  const { operator, owner } = source;
  const { service: name, basedOnVersion, address, healthAddress, zone } = command;
  return ownedService(state, operator.name, name, basedOnVersion).andThen((service) => {
    if ((state.lookup.backendIdsByService.get(service.id)?.size ?? 0) >= MAX_BACKENDS_PER_SERVICE) {
      const message = `Service ${name} has ${MAX_BACKENDS_PER_SERVICE} back ends, which is the most.`;
      return err(amberliftError('conflict', message));
    }
    return checkAddressFree(state, operator, address, service.id)
      .andThen(() => checkHealthAddress(state, operator, healthAddress))
      .andThen(() => idInBlock(owner.ownerNumber, owner.nextBackendNumber))
      .map((id) => {
        owner.nextBackendNumber += 1;
        const serviceId = service.id;
        const backend: Backend = {
          id,
          serviceId,
          address,
          healthAddress,
          zone,
          adminState: 'active',
        };
        return { ...serviceChange(service, { type: 'backend-set', backend }), backend };
      });
  });
}

/** Starts or cancels the draining of a back end. */
export function setAdminState(
  state: ClusterState,
  source: CommandSource,
  command: BackendReference,
  adminState: BackendAdminState,
): DecisionResult {
  const { backendId, basedOnVersion } = command;
  return ownedBackend(state, source.operator.name, backendId, basedOnVersion).map(
    ({ backend, service }) => {
      const changed = { ...backend, adminState };
      return {
        ...serviceChange(service, { type: 'backend-set', backend: changed }),
        backend: changed,
      };
    },
  );
}

/** Removes a draining back end and quarantines its address. */
export function retireBackend(
  state: ClusterState,
  source: CommandSource,
  command: BackendReference,
): DecisionResult {
  const { backendId, basedOnVersion } = command;
  return ownedBackend(state, source.operator.name, backendId, basedOnVersion).andThen(
    ({ backend, service }) => {
      if (backend.adminState !== 'draining') {
        const message = `Back end ${backendId} is active; drain it first, so that no flow breaks.`;
        return err(amberliftError('conflict', message));
      }
      return ok({
        ...serviceChange(service, { type: 'backend-removed', backendId }),
        backend,
        quarantined: {
          address: backend.address,
          formerServiceId: service.id,
          removedIndex: source.index,
        },
      });
    },
  );
}
