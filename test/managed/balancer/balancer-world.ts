/** @file Test harness: one balancer with ready back ends, and the packets of callers and back ends. */
import type { BalancerEffect, SendEffect } from '../../../src/managed/balancer/balancer-events.js';
import {
  createBalancerState,
  type BalancerState,
} from '../../../src/managed/balancer/balancer-state.js';
import { applyConfigUpdate } from '../../../src/managed/balancer/config-tables.js';
import {
  defaultBalancerOptions,
  type BalancerOptions,
} from '../../../src/managed/balancer/balancer-options.js';
import { balancerStep } from '../../../src/managed/balancer/balancer-step.js';
import type { Address } from '../../../src/shared/common/address.js';
import { seededRandom } from '../../../src/shared/common/random.js';
import type { Backend, Service, TokenKey } from '../../../src/managed/control/routing-config.js';
import type { ConfigChange } from '../../../src/managed/control/config-delta.js';
import { decodeEnvelope, encodeEnvelope } from '../../../src/managed/flow/envelope.js';
import type { ErrorKind } from '../../../src/shared/common/error-kinds.js';
import {
  encodeLongHeader,
  encodeShortHeader,
  parseLongHeader,
} from '../../../src/managed/flow/header.js';
import { decodeMessage, encodeMessage, type Message } from '../../../src/managed/flow/messages.js';
import { mintToken, prepareTokenKey, type TokenFields } from '../../../src/managed/flow/token.js';

export const BACKENDS_PER_SERVICE = 4;
export const FABRIC: Address = { host: '10.0.0.1', port: 1 };
const INCARNATION = 7;
const DEADLINE_MS = 2_000;

export function makeService(id: number, fields: Partial<Service> = {}): Service {
  const address = { host: `10.1.0.${id}`, port: 5_000 };
  const name = `service-${id}`;
  const owner = `owner-${id}`;
  return { id, name, owner, address, policy: 'random', limits: {}, version: 1, ...fields };
}

export function makeKey(id: number, state: TokenKey['state']): TokenKey {
  return { id, secret: Buffer.alloc(16, id), state };
}

function backendsOf(service: Service): Backend[] {
  return Array.from({ length: BACKENDS_PER_SERVICE }, (_, index) => {
    const id = service.id * 100 + index;
    const host = `10.2.${service.id}.${index}`;
    const addresses = { address: { host, port: 1 }, healthAddress: { host, port: 2 } };
    return { id, serviceId: service.id, ...addresses, zone: 'zone-a', adminState: 'active' };
  });
}

/** Runs one balancer and plays its callers and back ends. */
export class BalancerWorld {
  readonly state: BalancerState;
  readonly random = seededRandom(1);
  nowMs = 10_000;
  private nextFlow = 1;

  constructor(
    readonly services: readonly Service[],
    options: Partial<BalancerOptions> = {},
  ) {
    this.state = createBalancerState({
      ...defaultBalancerOptions,
      balancerId: 'balancer-1',
      zone: 'zone-a',
      clusterKey: 'test-cluster-key',
      controlAddresses: [],
      ...options,
    });
    const backends = services.flatMap(backendsOf);
    const to = { term: 1, index: 1 };
    const keys = [makeKey(1, 'current')];
    applyConfigUpdate(this.state, { type: 'snapshot', to, services, backends, keys });
    this.state.subscription.lease.expiresAtMs = Infinity;
    for (const { id: backendId } of backends) {
      const health = { backendId, incarnation: INCARNATION, state: 'ready' as const };
      this.step({ type: 'probe-result', result: { backendId, health, load: undefined } });
    }
  }

  step(event: Parameters<typeof balancerStep>[1]): BalancerEffect[] {
    return balancerStep(this.state, event, { nowMs: this.nowMs, random: this.random });
  }

  change(...changes: ConfigChange[]): void {
    const from = this.state.position;
    const to = { term: 1, index: from.index + 1 };
    applyConfigUpdate(this.state, { type: 'delta', from, to, changes });
  }

  /** Sends the open of a new flow. */
  open(service: Service): SendEffect[] {
    this.nextFlow += 1;
    const flowId = Buffer.alloc(8);
    flowId.writeUInt32BE(this.nextFlow);
    const body = encodeMessage({ type: 'open', deadlineMs: DEADLINE_MS });
    return this.fromCaller(service, encodeLongHeader(new Uint8Array(0), flowId, body));
  }

  fromCaller(service: Service, packet: Uint8Array): SendEffect[] {
    const client = { host: '10.9.0.1', port: 4_000 };
    const datagram = encodeEnvelope({ client, service: service.address, packet });
    return sendEffects(this.step({ type: 'client-datagram', datagram, replyTo: FABRIC }));
  }

  /** Sends a packet of an established flow; `fields` override those of a valid token. */
  established(service: Service, fields: Partial<TokenFields>, key = makeKey(1, 'current')) {
    const flowId = Buffer.alloc(8, 9);
    const backendId = service.id * 100;
    const base = { keyId: key.id, serviceId: service.id, backendId, incarnation: INCARNATION };
    const token = mintToken({ ...base, flowId, ...fields }, prepareTokenKey(key.secret));
    return this.fromCaller(service, encodeShortHeader(token, Buffer.from('opaque')));
  }

  /** Replies to an open in the place of the back end that received it. */
  answer(sent: SendEffect, message: Message): SendEffect[] {
    const { client, service, packet } = decodeEnvelope(sent.datagram)._unsafeUnwrap();
    const { destinationId, sourceId } = parseLongHeader(packet)._unsafeUnwrap();
    const reply = encodeLongHeader(sourceId, destinationId, encodeMessage(message));
    const datagram = encodeEnvelope({ client, service, packet: reply });
    return sendEffects(this.step({ type: 'backend-datagram', datagram }));
  }

  count(kind: ErrorKind): number {
    return this.state.errorCounts.get(kind) ?? 0;
  }
}

export const accept: Message = { type: 'accept', incarnation: INCARNATION };
export const refuse: Message = {
  type: 'refuse',
  kind: 'overloaded',
  surelyNotRun: true,
  incarnation: INCARNATION,
};

function sendEffects(effects: BalancerEffect[]): SendEffect[] {
  return effects.filter((effect) => effect.type === 'send');
}

export function isToBackend(effect: SendEffect | undefined): effect is SendEffect {
  return effect?.via === 'backends';
}

/** Decodes the message to a caller; undefined if the effect sends nothing to the fabric. */
export function messageToCaller(effect: SendEffect | undefined): Message | undefined {
  if (effect?.via !== 'fabric') {
    return undefined;
  }
  const { packet } = decodeEnvelope(effect.datagram)._unsafeUnwrap();
  return decodeMessage(parseLongHeader(packet)._unsafeUnwrap().body)._unsafeUnwrap();
}
