/**
 * @file Sends the calls of stand-in back ends and operators to real control machines over HTTP.
 */
import { startOf } from '../../registered/registry/backend-start.js';
import type { Address } from '../../shared/common/address.js';
import { formatAddress } from '../../shared/common/address.js';
import type { RandomSource } from '../../shared/common/step.js';
import { sendJson, type JsonRequest, type JsonResponse } from '../../managed/daemon/http-json.js';
import type { GroupCall } from '../../registered/daemon/group-process.js';
import type { GroupReply } from '../../registered/group/group-events.js';
import type { CallControl } from '../sim-registered/stand-in-backend.js';

const CALL_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Options of the calls to control machines. */
export interface SoakCallsOptions {
  readonly controlAddresses: readonly Address[];
  readonly operatorToken: string;
  readonly random: RandomSource;
}

/**
 * Every second caller is sticky: it calls the same control machine until a call fails, also while that machine stops.
 * The others change the machine with each call.
 * @returns a function that sends a call to a control machine; without a response it never invokes its callback
 */
export function createSoakCalls(options: SoakCallsOptions): CallControl {
  const { controlAddresses, operatorToken, random } = options;
  const lastAddresses = new Map<string, Address>();
  const stickyAddresses = new Map<string, Address>();

  return (fromHost, call, answer) => {
    const to = stickyAddresses.get(fromHost) ?? pick(fromHost);
    if (to === undefined) {
      return;
    }
    void sendJson(requestFor(call, to, operatorToken)).match(
      (response) => {
        const reply = replyOf(call, response);
        recordAnswer(fromHost, to, reply.type !== 'unavailable');
        answer(reply);
      },
      () => recordAnswer(fromHost, to, false),
    );
  };

  function recordAnswer(fromHost: string, to: Address, isServed: boolean): void {
    if (isServed && isSticky(fromHost)) {
      stickyAddresses.set(fromHost, to);
    } else {
      stickyAddresses.delete(fromHost);
    }
  }

  /** Depends on the address alone, so that each run has the same sticky callers. */
  function isSticky(fromHost: string): boolean {
    return Number(fromHost.split('.').at(-1)) % 2 === 0;
  }

  function pick(fromHost: string): Address | undefined {
    const last = lastAddresses.get(fromHost);
    const others = controlAddresses.filter((address) => address !== last);
    const to = others[random.nextInt(others.length)];
    if (to !== undefined) {
      lastAddresses.set(fromHost, to);
    }
    return to;
  }
}

/** @returns the HTTP request that carries a call */
export function requestFor(call: GroupCall, to: Address, operatorToken: string): JsonRequest {
  const common = { to, timeoutMs: CALL_TIMEOUT_MS };
  switch (call.type) {
    case 'heartbeat': {
      const { id, instanceNumber, address, ...record } = call.record;
      const { backend, startedAtMs } = startOf(id);
      const { isDraining } = call;
      const body = {
        ...record,
        instance: instanceNumber,
        address: formatAddress(address),
        isDraining,
        ...(startedAtMs !== undefined && { startedAtMs }),
      };
      return { ...common, method: 'PUT', path: pathOf(backend), body };
    }
    case 'deregister': {
      const { backend, startedAtMs } = startOf(call.backendId);
      const body = startedAtMs === undefined ? undefined : { startedAtMs };
      return { ...common, method: 'DELETE', path: pathOf(backend), body };
    }
    case 'declare-config': {
      const body: unknown = JSON.parse(call.document.text);
      return { ...common, method: 'PUT', path: '/v1/config', body, bearerToken: operatorToken };
    }
    case 'read-config':
      return { ...common, method: 'GET', path: '/v1/config', bearerToken: operatorToken };
    case 'order-zone': {
      const path = `/v1/zones/${encodeURIComponent(call.zone)}/evacuation`;
      const method = call.kind === 'evacuate' ? 'PUT' : 'DELETE';
      return { ...common, method, path, bearerToken: operatorToken };
    }
    case 'read-zones':
      return { ...common, method: 'GET', path: '/v1/zones', bearerToken: operatorToken };
  }
}

function pathOf(backend: string): string {
  return `/v1/backends/${encodeURIComponent(backend)}`;
}

/** @returns the reply to a call that an HTTP response stands for */
export function replyOf(call: GroupCall, { status, body }: JsonResponse): GroupReply {
  if (call.type === 'read-config' && (status === HTTP_OK || status === HTTP_NOT_FOUND)) {
    return { type: 'config', document: status === HTTP_OK ? documentOf(body) : undefined };
  }
  return status === HTTP_OK
    ? { type: 'accepted' }
    : { type: 'unavailable', reason: `status ${status}` };
}

function documentOf(body: unknown): { readonly version: number; readonly text: string } {
  const hasVersion = typeof body === 'object' && body !== null && 'version' in body;
  const version = hasVersion && typeof body.version === 'number' ? body.version : 0;
  return { version, text: JSON.stringify(body) };
}
