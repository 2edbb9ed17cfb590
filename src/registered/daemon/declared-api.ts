/**
 * @file HTTP API of a control machine, with JSON bodies:
 *
 * - `PUT /v1/backends/ID` is a heartbeat, `DELETE /v1/backends/ID` a deregistration. Both accept the start time of
 *   the back end (`startedAtMs`), so that it can restart under the same ID.
 * - `PUT /v1/config` declares a whole configuration, `GET /v1/config` reads the current one.
 * - `PUT /v1/zones/ZONE/evacuation` evacuates a zone, `DELETE` readmits it, `GET /v1/zones` lists all zones.
 *
 * If an operator token is set, calls on configurations and zones require `Authorization: Bearer TOKEN`.
 */
import * as z from 'zod/mini';
import { parseDeclaredConfig } from '../declared/parse-config.js';
import { startIdOf } from '../registry/backend-start.js';
import { boundedName } from '../registry/bounded-name.js';
import {
  backendAddress,
  backendNameOf,
  capacityField,
  nameField,
  refusedFields,
  refusedName,
  sequenceField,
  startTimeField,
  warmUpField,
} from './heartbeat-fields.js';
import {
  configCallOf,
  decodePathPart,
  parseJson,
  refusedCall,
  type CallRequest,
  type TranslateCall,
  type TranslatedCall,
} from './call-listener.js';

const BACKENDS_PATH = '/v1/backends/';
const CONFIG_PATH = '/v1/config';
const ZONES_PATH = '/v1/zones';
const EVACUATION_PATTERN = /^\/v1\/zones\/([^/]+)\/evacuation$/;
const INSTANCE_PATTERN = /^[0-9a-f]{16}$/;

const heartbeatSchema = z.strictObject({
  service: nameField,
  address: z.string().check(z.refine((text) => backendAddress(text) !== undefined)),
  zone: nameField,
  /** Identifies the back end in datagrams; 16 hexadecimal digits. */
  instance: z.string().check(z.regex(INSTANCE_PATTERN)),
  capacity: z._default(capacityField, 1),
  warmUpLeftMs: z._default(warmUpField, 0),
  sequence: sequenceField,
  isDraining: z._default(z.boolean(), false),
  /** Distinguishes restarts of a back end under the same ID. */
  startedAtMs: z.optional(startTimeField),
});
/** Optional body of a deregistration. */
const departureSchema = z.strictObject({ startedAtMs: z.optional(startTimeField) });

/**
 * @param operatorToken required for calls of operators; undefined disables the check
 * @returns the mapping of requests to calls
 */
export function createDeclaredApi(operatorToken: string | undefined): TranslateCall {
  return translate;

  function translate(request: CallRequest): TranslatedCall {
    const { method, path, body } = request;
    if (path.startsWith(BACKENDS_PATH)) {
      const name = backendNameOf(path.slice(BACKENDS_PATH.length));
      return name === undefined ? refusedName() : backendCall(method, name, body);
    }
    if (path !== CONFIG_PATH && !path.startsWith(ZONES_PATH)) {
      return refusedCall('not-found', 'Unknown endpoint');
    }
    if (operatorToken !== undefined && request.bearerToken !== operatorToken) {
      return refusedCall('unauthorized', 'Missing or invalid operator token');
    }
    return path === CONFIG_PATH ? configCall(method, body) : zoneCall(method, path);
  }
}

function zoneCall(method: string, path: string): TranslatedCall {
  if (method === 'GET' && path === ZONES_PATH) {
    return { type: 'call', call: { type: 'read-zones' } };
  }
  const zoneName = decodePathPart(EVACUATION_PATTERN.exec(path)?.[1] ?? '');
  if (zoneName === undefined) {
    return refusedCall('not-found', 'Unknown endpoint');
  }
  const zone = boundedName(zoneName);
  switch (method) {
    case 'PUT':
      return { type: 'call', call: { type: 'order-zone', zone, kind: 'evacuate' } };
    case 'DELETE':
      return { type: 'call', call: { type: 'order-zone', zone, kind: 'readmit' } };
    default:
      return refusedCall('not-found', 'Method not supported; use PUT or DELETE');
  }
}

function backendCall(method: string, name: string, body: string): TranslatedCall {
  switch (method) {
    case 'PUT':
      return heartbeatCall(name, body);
    case 'DELETE':
      return departureCall(name, body);
    default:
      return refusedCall('not-found', 'Method not supported; use PUT or DELETE');
  }
}

function departureCall(name: string, body: string): TranslatedCall {
  const parsed = departureSchema.safeParse(body === '' ? {} : parseJson(body));
  if (!parsed.success) {
    return refusedFields(parsed.error);
  }
  const { startedAtMs } = parsed.data;
  const backendId = startIdOf({ backend: name, startedAtMs });
  return { type: 'call', call: { type: 'deregister', backendId } };
}

function heartbeatCall(name: string, body: string): TranslatedCall {
  const parsed = heartbeatSchema.safeParse(parseJson(body));
  if (!parsed.success) {
    return refusedFields(parsed.error);
  }
  const { service, zone, instance, capacity, warmUpLeftMs, sequence, isDraining } = parsed.data;
  const address = backendAddress(parsed.data.address);
  if (address === undefined) {
    return refusedCall('invalid-command', 'Invalid backend address', 'address');
  }
  const id = startIdOf({ backend: name, startedAtMs: parsed.data.startedAtMs });
  const record = { id, instanceNumber: instance, service, address, zone };
  return {
    type: 'call',
    call: {
      type: 'heartbeat',
      isDraining,
      record: { ...record, capacity, warmUpLeftMs, sequence },
    },
  };
}

function configCall(method: string, body: string): TranslatedCall {
  switch (method) {
    case 'GET':
      return { type: 'call', call: { type: 'read-config' } };
    case 'PUT':
      return parseDeclaredConfig(parseJson(body)).match<TranslatedCall>(
        (config) => configCallOf({ version: config.version, text: JSON.stringify(config) }),
        ({ message }) => refusedCall('invalid-command', message),
      );
    default:
      return refusedCall('not-found', 'Method not supported; use GET or PUT');
  }
}
