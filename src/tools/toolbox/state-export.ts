/**
 * @file Parses an export of an operator's services and back ends: the JSON lines that `amberlift ctl --json` prints for
 * `show services` and `show backends`.
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

/** Operator name used in the rebuilt state. */
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

/** Services and back ends of one operator. */
export interface StateExport {
  readonly services: readonly ExportedService[];
  readonly backends: readonly ExportedBackend[];
}

/**
 * @param text one JSON value per line; the last result of each of the two queries is used
 * @returns the export, or `invalid-settings` with the line number or the missing part
 */
export function parseStateExport(text: string): Result<StateExport, AmberliftError> {
  let services: readonly ExportedService[] | undefined;
  let backends: readonly ExportedBackend[] | undefined;
  const lines = text.split('\n');
  for (const [lineIndex, line] of lines.entries()) {
    if (line.trim() === '') {
      continue;
    }
    const parsed = lineSchema.safeParse(parseJson(line));
    if (!parsed.success) {
      const message = `Line ${lineIndex + 1} is not a JSON answer to "show services" or "show backends".`;
      return err(amberliftError('invalid-settings', message));
    }
    if (parsed.data.type === 'services') {
      services = parsed.data.services;
    } else {
      backends = parsed.data.backends;
    }
  }
  if (services === undefined || backends === undefined) {
    const message = 'The export needs the answers to both "show services" and "show backends".';
    return err(amberliftError('invalid-settings', message));
  }
  return ok({ services, backends });
}

/**
 * @returns a cluster state with this operator only. It lacks what an operator can't see: other operators'
 *   addresses, quarantined addresses and outcomes of earlier commands.
 */
export function rebuildState(exported: StateExport): ClusterState {
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
  owner.nextServiceNumber = nextNumberAfter(exported.services);
  owner.nextBackendNumber = nextNumberAfter(exported.backends);
  state.lookup = buildConfigLookup(state.routing);
  return state;
}

/** @returns the next free number within the operator's ID block */
function nextNumberAfter(items: readonly { readonly id: number }[]): number {
  const highest = items.reduce((high, { id }) => Math.max(high, id), 0);
  const blockSize = idInBlock(1, 0).unwrapOr(1);
  return (highest % blockSize) + 1;
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    // The schema check that follows reports the line number.
    return undefined;
  }
}
