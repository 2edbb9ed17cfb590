/**
 * @file The product's own calls to a control machine of a group, over HTTP with JSON bodies:
 *
 * - `PUT /v1/backends/ID` is a heartbeat, `DELETE /v1/backends/ID` the departure of a back end that has ended.
 * - `PUT /v1/config` declares a whole configuration, `GET /v1/config` reads the one that holds. Both need
 *   `Authorization: Bearer TOKEN` where the settings give a token.
 * - `PUT /v1/zones/ZONE/evacuation` evacuates a zone, `DELETE` readmits it, `GET /v1/zones` lists the state of each zone and
 *   what works there; with the same token.
 */
import * as z from 'zod/mini';
import { parseAddress } from '../../shared/common/address.js';
import { describeFaults } from '../../shared/common/schema-faults.js';
import { parseDeclaredConfig } from '../declared/parse-config.js';
import {
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
/** Characters of an ID in a path; below what messages between control machines take for a text (200). */
const MAX_ID_LENGTH = 100;
const INSTANCE_PATTERN = /^[0-9a-f]{16}$/;

const heartbeatSchema = z.strictObject({
  service: z.string().check(z.minLength(1)),
  address: z.string().check(z.refine((text) => parseAddress(text) !== undefined)),
  zone: z.string(),
  /** Names this start in datagrams; 16 hexadecimal digits, never used again. */
  instance: z.string().check(z.regex(INSTANCE_PATTERN)),
  capacity: z._default(z.number().check(z.positive()), 1),
  warmUpLeftMs: z._default(z.number().check(z.nonnegative()), 0),
  sequence: z.number().check(z.nonnegative()),
  isDraining: z._default(z.boolean(), false),
});

/**
 * @param operatorToken without it anybody may declare and read
 * @returns the translation of requests into calls
 */
export function createDeclaredApi(operatorToken: string | undefined): TranslateCall {
  return translate;

  function translate(request: CallRequest): TranslatedCall {
    const { method, path, body } = request;
    if (path.startsWith(BACKENDS_PATH)) {
      const id = decodePathPart(path.slice(BACKENDS_PATH.length), MAX_ID_LENGTH);
      return id === undefined
        ? refusedCall('invalid-command', 'The ID is not valid.')
        : backendCall(method, id, body);
    }
    if (path !== CONFIG_PATH && !path.startsWith(ZONES_PATH)) {
      return refusedCall('not-found', 'There is no such call.');
    }
    if (operatorToken !== undefined && request.bearerToken !== operatorToken) {
      return refusedCall('unauthorized', 'The bearer token is not the operator token.');
    }
    return path === CONFIG_PATH ? configCall(method, body) : zoneCall(method, path);
  }
}

function zoneCall(method: string, path: string): TranslatedCall {
  if (method === 'GET' && path === ZONES_PATH) {
    return { type: 'call', call: { type: 'read-zones' } };
  }
  const zone = decodePathPart(EVACUATION_PATTERN.exec(path)?.[1] ?? '', MAX_ID_LENGTH);
  if (zone === undefined) {
    return refusedCall('not-found', 'There is no such call.');
  }
  switch (method) {
    case 'PUT':
      return { type: 'call', call: { type: 'order-zone', zone, kind: 'evacuate' } };
    case 'DELETE':
      return { type: 'call', call: { type: 'order-zone', zone, kind: 'readmit' } };
    default:
      return refusedCall('not-found', 'Allowed are PUT and DELETE.');
  }
}

function backendCall(method: string, id: string, body: string): TranslatedCall {
  switch (method) {
    case 'PUT':
      return heartbeatCall(id, body);
    case 'DELETE':
      return { type: 'call', call: { type: 'deregister', backendId: id } };
    default:
      return refusedCall('not-found', 'Allowed are PUT and DELETE.');
  }
}

function heartbeatCall(id: string, body: string): TranslatedCall {
  const parsed = heartbeatSchema.safeParse(parseJson(body));
  const address = parsed.success ? parseAddress(parsed.data.address) : undefined;
  if (!parsed.success || address === undefined) {
    return refusedCall(
      'invalid-command',
      parsed.error === undefined ? 'The heartbeat is not valid.' : describeFaults(parsed.error),
    );
  }
  const { service, zone, instance, capacity, warmUpLeftMs, sequence, isDraining } = parsed.data;
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
        (config) => {
          const document = { version: config.version, text: JSON.stringify(config) };
          return { type: 'call', call: { type: 'declare-config', document } };
        },
        ({ message }) => refusedCall('invalid-command', message),
      );
    default:
      return refusedCall('not-found', 'Allowed are GET and PUT.');
  }
}
