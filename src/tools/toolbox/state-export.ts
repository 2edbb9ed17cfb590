/**
 * @file An operator's services and back ends as read from a file: the lines that `amberlift ctl --json` prints for `show services` and `show
 * backends`. Relies on the schemas of these answers; `check` and `plan` work on what it returns.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { addressSchema } from '../../shared/common/address-schema.js';
import { buildConfigLookup } from '../../managed/control/config-lookup.js';
import {
  emptyClusterState,
  emptyOwnerState,
  type ClusterState,
} from '../../managed/control/cluster-state.js';
import { placementPolicyNames } from '../../managed/control/routing-config.js';
import { idInBlock } from '../../managed/control/id-blocks.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** Name under which the export's operator stands in the rebuilt state. */
export const EXPORT_OPERATOR = 'exported';

const positive = z.number().int().positive();
const count = z.number().int().min(0);

const servicesSchema = z.object({
  type: z.literal('services'),
  services: z.array(
    z.object({
      id: positive,
      name: z.string(),
      address: addressSchema,
      policy: z.enum(placementPolicyNames),
      limits: z.object({
        opensPerSecond: positive.optional(),
        connectionsPerBackend: positive.optional(),
      }),
      version: positive,
    }),
  ),
});

const backendsSchema = z.object({
  type: z.literal('backends'),
  backends: z.array(
    z.object({
      id: positive,
      service: z.string(),
      address: addressSchema,
      healthAddress: addressSchema,
      zone: z.string(),
      adminState: z.enum(['active', 'draining']),
      load: z.object({ connections: count }).optional(),
    }),
  ),
});

const lineSchema = z.discriminatedUnion('type', [servicesSchema, backendsSchema]);

/** A service of an export. */
export type ExportedService = z.infer<typeof servicesSchema>['services'][number];
/** A back end of an export. */
export type ExportedBackend = z.infer<typeof backendsSchema>['backends'][number];

/** What one operator owns. */
export interface StateExport {
  readonly services: readonly ExportedService[];
  readonly backends: readonly ExportedBackend[];
}

/**
 * @param text one JSON value a line; the last answer to each of the two queries counts
 * @returns the export, or `invalid-settings` naming the line or what is missing
 */
export function parseStateExport(text: string): Result<StateExport, AmberliftError> {
  let services: readonly ExportedService[] | undefined;
  let backends: readonly ExportedBackend[] | undefined;
  const lines = text.split('\n');
  for (const [position, line] of lines.entries()) {
    if (line.trim() === '') {
      continue;
    }
    const parsed = lineSchema.safeParse(parseJson(line));
    if (!parsed.success) {
      const message = `Line ${position + 1} is no answer to "show services" or "show backends".`;
      return err(amberliftError('invalid-settings', message));
    }
    if (parsed.data.type === 'services') {
      services = parsed.data.services;
    } else {
      backends = parsed.data.backends;
    }
  }
  if (services === undefined || backends === undefined) {
    const message = 'The export needs the answers to "show services" and to "show backends".';
    return err(amberliftError('invalid-settings', message));
  }
  return ok({ services, backends });
}

/**
 * @returns a cluster state with this operator alone. What an operator can't see is not in it: other
 *   operators' addresses, addresses in quarantine, and results of earlier commands.
 */
export function stateOf(exported: StateExport): ClusterState {
  const state = emptyClusterState();
  const owner = emptyOwnerState(EXPORT_OPERATOR, 0);
  state.operators.set(EXPORT_OPERATOR, { name: EXPORT_OPERATOR, tokenHash: '' });
  state.owners.set(EXPORT_OPERATOR, owner);
  const idByName = new Map<string, number>();
  for (const service of exported.services) {
    state.routing.services.set(service.id, { ...service, owner: EXPORT_OPERATOR });
    idByName.set(service.name, service.id);
  }
  for (const { id, service, address, healthAddress, zone, adminState } of exported.backends) {
    const serviceId = idByName.get(service);
    if (serviceId !== undefined) {
      const backend = { id, serviceId, address, healthAddress, zone, adminState };
      state.routing.backends.set(id, backend);
    }
  }
  owner.nextServiceNumber = numberAfter(exported.services);
  owner.nextBackendNumber = numberAfter(exported.backends);
  state.lookup = buildConfigLookup(state.routing);
  return state;
}

/** IDs are given from the operator's own block; any that follow those in use will do. */
function numberAfter(items: readonly { readonly id: number }[]): number {
  const highest = items.reduce((high, { id }) => Math.max(high, id), 0);
  const blockSize = idInBlock(1, 0).unwrapOr(1);
  return (highest % blockSize) + 1;
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    // What is no JSON fails the check of the schema that follows, with the number of its line.
    return undefined;
  }
}
