/**
 * @file Configuration and datagrams of the forwarding benchmark. Back ends have distinct loopback
 * addresses and share a port, so that one socket receives for all of them.
 */
import type { Address } from '../../shared/common/address.js';
import type { Backend, Service, TokenKey } from '../../managed/control/routing-config.js';
import type {
  ConfigChange,
  ConfigDelta,
  ConfigSnapshot,
} from '../../managed/control/config-delta.js';
import { encodeEnvelope } from '../../managed/flow/envelope.js';
import {
  encodeLongHeader,
  encodeShortHeader,
  FLOW_ID_LENGTH_BYTES,
} from '../../managed/flow/header.js';
import { encodeMessage } from '../../managed/flow/messages.js';
import { mintToken, prepareTokenKey, TOKEN_KEY_LENGTH_BYTES } from '../../managed/flow/token.js';

const BACKENDS_PER_SERVICE = 10;
const KEY_ID = 1;
const SERVICE_PORT = 7_000;
const CLIENT_PORT_COUNT = 50_000;
const FIRST_CLIENT_PORT = 10_000;
const OPEN_DEADLINE_MS = 2_000;
/** Length of the packet body of an established flow. */
const BODY_BYTES = 64;
/** Incarnation that all back ends report. */
export const BENCH_INCARNATION = 1;

const secret = Uint8Array.from({ length: TOKEN_KEY_LENGTH_BYTES }, (_, index) => index + 1);
const tokenKey: TokenKey = { id: KEY_ID, secret, state: 'current' };

/** UDP port and health endpoint that all back ends share. */
export interface BackendEndpoints {
  readonly port: number;
  readonly healthAddress: Address;
}

/** @returns a full configuration with `backendCount` back ends */
export function benchConfig(backendCount: number, endpoints: BackendEndpoints): ConfigSnapshot {
  const serviceCount = Math.ceil(backendCount / BACKENDS_PER_SERVICE);
  return {
    type: 'snapshot',
    to: { term: 1, index: 1 },
    services: Array.from({ length: serviceCount }, (_, number) => benchService(number)),
    backends: Array.from({ length: backendCount }, (_, number) => benchBackend(number, endpoints)),
    keys: [tokenKey],
  };
}

/**
 * @param initialCount back ends that the balancer already has, with their services
 * @returns the delta that adds the remaining services and back ends of `config`
 */
export function benchDelta(config: ConfigSnapshot, initialCount: number): ConfigDelta {
  const initialServiceCount = Math.ceil(initialCount / BACKENDS_PER_SERVICE);
  return {
    type: 'delta',
    from: config.to,
    to: { ...config.to, index: config.to.index + 1 },
    changes: [
      ...config.services
        .slice(initialServiceCount)
        .map((service): ConfigChange => ({ type: 'service-set', service })),
      ...config.backends
        .slice(initialCount)
        .map((backend): ConfigChange => ({ type: 'backend-set', backend })),
    ],
  };
}

/** @returns one enveloped datagram for each established flow, spread over all back ends */
export function establishedDatagrams(flowCount: number, backendCount: number): Buffer[] {
  const key = prepareTokenKey(secret);
  const body = Buffer.alloc(BODY_BYTES, 1);
  return Array.from({ length: flowCount }, (_, number) => {
    const backendNumber = number % backendCount;
    const serviceNumber = Math.floor(backendNumber / BACKENDS_PER_SERVICE);
    const fields = {
      keyId: KEY_ID,
      serviceId: serviceNumber + 1,
      backendId: backendNumber + 1,
      incarnation: BENCH_INCARNATION,
      flowId: flowIdOf(number),
    };
    const packet = encodeShortHeader(mintToken(fields, key), body);
    return encodeEnvelope({
      client: clientOf(number),
      service: benchService(serviceNumber).address,
      packet,
    });
  });
}

/** @returns the datagram that opens flow `number` at the first service */
export function openDatagram(number: number): Buffer {
  const body = encodeMessage({ type: 'open', deadlineMs: OPEN_DEADLINE_MS });
  const packet = encodeLongHeader(new Uint8Array(0), flowIdOf(number), body);
  return encodeEnvelope({ client: clientOf(number), service: benchService(0).address, packet });
}

function flowIdOf(number: number): Buffer {
  const flowId = Buffer.alloc(FLOW_ID_LENGTH_BYTES);
  flowId.writeUInt32BE(number, FLOW_ID_LENGTH_BYTES - 4);
  return flowId;
}

/** @returns the number encoded in a flow ID of this benchmark */
export function flowNumberOf(flowId: Uint8Array): number {
  return Buffer.from(flowId).readUInt32BE(FLOW_ID_LENGTH_BYTES - 4);
}

function clientOf(number: number): Address {
  const host = `10.9.${Math.floor(number / CLIENT_PORT_COUNT) % 256}.1`;
  return { host, port: FIRST_CLIENT_PORT + (number % CLIENT_PORT_COUNT) };
}

function benchService(number: number): Service {
  return {
    id: number + 1,
    name: `service-${number}`,
    owner: 'bench',
    address: { host: `10.1.${number >> 8}.${number & 255}`, port: SERVICE_PORT },
    policy: 'adaptive',
    limits: {},
    version: 1,
  };
}

function benchBackend(number: number, endpoints: BackendEndpoints): Backend {
  return {
    id: number + 1,
    serviceId: Math.floor(number / BACKENDS_PER_SERVICE) + 1,
    address: { host: `127.1.${number >> 8}.${number & 255}`, port: endpoints.port },
    healthAddress: endpoints.healthAddress,
    zone: 'zone-a',
    adminState: 'active',
  };
}
