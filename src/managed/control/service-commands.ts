/**
 * @file Commands that define, change and retire services.
 */
import { err, ok } from 'neverthrow';
import { amberliftError } from '../../shared/common/error-kinds.js';
import type { ClusterState } from './cluster-state.js';
import type { Service } from './routing-config.js';
import type { ChangeCommand } from './commands.js';
import { serviceNameKey } from './config-lookup.js';
import {
  checkAddressFree,
  ownedService,
  serviceChange,
  type CommandSource,
  type DecisionResult,
} from './decision.js';
import { idInBlock } from './id-blocks.js';

const MAX_SERVICES_PER_OPERATOR = 5_000;

/** Defines a new service without back ends. */
export function defineService(
  state: ClusterState,
  source: CommandSource,
  command: Extract<ChangeCommand, { type: 'define-service' }>,
): DecisionResult {
  const { operator, owner } = source;
  const { lookup } = state;
  if (lookup.serviceIdsByName.has(serviceNameKey(operator.name, command.service))) {
    return err(amberliftError('conflict', `Service ${command.service} is already defined.`));
  }
  if ((lookup.serviceIdsByOwner.get(operator.name)?.size ?? 0) >= MAX_SERVICES_PER_OPERATOR) {
    const message = `You have ${MAX_SERVICES_PER_OPERATOR} services, which is the most.`;
    return err(amberliftError('conflict', message));
  }
  return checkAddressFree(state, operator, command.address, undefined)
    .andThen(() => idInBlock(owner.ownerNumber, owner.nextServiceNumber))
    .map((id) => {
      owner.nextServiceNumber += 1;
      const service: Service = {
        id,
        name: command.service,
        owner: operator.name,
        address: command.address,
        policy: command.policy,
        limits: command.limits,
        version: 1,
      };
      return { changes: [{ type: 'service-set', service }], service };
    });
}

/** Changes the policy or limits of a service; omitted fields keep their values. */
export function changeService(
  state: ClusterState,
  source: CommandSource,
  command: Extract<ChangeCommand, { type: 'change-service' }>,
): DecisionResult {
  const { service: name, basedOnVersion, policy, limits } = command;
  return ownedService(state, source.operator.name, name, basedOnVersion).map((service) =>
    serviceChange({
      ...service,
      policy: policy ?? service.policy,
      limits: { ...service.limits, ...limits },
    }),
  );
}

/** Removes a service without back ends and quarantines its address. */
export function retireService(
  state: ClusterState,
  source: CommandSource,
  command: Extract<ChangeCommand, { type: 'retire-service' }>,
): DecisionResult {
  const { service: name, basedOnVersion } = command;
  return ownedService(state, source.operator.name, name, basedOnVersion).andThen((service) => {
    if ((state.lookup.backendIdsByService.get(service.id)?.size ?? 0) > 0) {
      return err(amberliftError('conflict', `Service ${service.name} still has back ends.`));
    }
    return ok({
      changes: [{ type: 'service-removed' as const, serviceId: service.id }],
      service,
      quarantined: {
        address: service.address,
        formerServiceId: service.id,
        removedIndex: source.index,
      },
    });
  });
}
