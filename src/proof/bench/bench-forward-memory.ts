/**
 * @file Memory per established flow of the balancer's decision step, against a flow table. The
 * process runs with `--expose-gc`, so that heap in use is counted after a full collection.
 */
import { createBalancerState } from '../../managed/balancer/balancer-state.js';
import { applyConfigUpdate } from '../../managed/balancer/config-tables.js';
import { defaultBalancerOptions } from '../../managed/balancer/balancer-options.js';
import { balancerStep } from '../../managed/balancer/balancer-step.js';
import { formatAddress } from '../../shared/common/address.js';
import { seededRandom } from '../../shared/common/random.js';
import { decodeEnvelope } from '../../managed/flow/envelope.js';
import { parseShortHeader } from '../../managed/flow/header.js';
import { readToken, TOKEN_LENGTH_BYTES } from '../../managed/flow/token.js';
import { benchConfig, establishedDatagrams } from './bench-forward-config.js';
import type { MemoryResult } from './bench-forward-messages.js';

const BACKEND_COUNT = 10;
const WARM_UP_FLOWS = 20_000;
const loopback = { host: '127.0.0.1', port: 0 };

/**
 * Passes one packet of each of so many established flows.
 */
export function measureMemory(flowCount: number): MemoryResult {
  const datagrams = establishedDatagrams(flowCount, BACKEND_COUNT);
  return {
    flowCount,
    bytesPerFlow: measureStep(datagrams) / flowCount,
    bytesPerFlowOfTable: measureTable(datagrams) / flowCount,
  };
}

/** @returns bytes that the balancer's state grew by */
function measureStep(datagrams: readonly Buffer[]): number {
  const state = createBalancerState({
    ...defaultBalancerOptions,
    balancerId: 'bench',
    zone: 'zone-a',
    clusterKey: 'bench-cluster-key',
    controlAddresses: [],
  });
  applyConfigUpdate(state, benchConfig(BACKEND_COUNT, { port: 1, healthAddress: loopback }));
  state.subscription.lease.expiresAtMs = Infinity;
  const context = { nowMs: 0, random: seededRandom(1) };
  const pass = (datagram: Buffer): void => {
    // A copy, as each datagram is fresh from the socket; decoders may keep a view with a buffer.
    const fresh = Buffer.from(datagram);
    balancerStep(state, { type: 'client-datagram', datagram: fresh, replyTo: loopback }, context);
  };
  datagrams.slice(0, WARM_UP_FLOWS).forEach(pass);
  const before = heapInUse();
  datagrams.forEach(pass);
  const grown = heapInUse() - before;
  if (state.forwardedPackets !== datagrams.length + Math.min(WARM_UP_FLOWS, datagrams.length)) {
    throw new Error('The balancer did not forward every packet.');
  }
  return grown;
}

/** @returns bytes that a table from flow to back end grew by */
function measureTable(datagrams: readonly Buffer[]): number {
  const table = new Map<string, number>();
  const before = heapInUse();
  for (const datagram of datagrams) {
    const { client, packet } = decodeEnvelope(Buffer.from(datagram))._unsafeUnwrap();
    const { destinationId } = parseShortHeader(packet, TOKEN_LENGTH_BYTES)._unsafeUnwrap();
    const { flowId, backendId } = readToken(destinationId);
    table.set(`${formatAddress(client)}/${Buffer.from(flowId).toString('hex')}`, backendId);
  }
  const grown = heapInUse() - before;
  if (table.size !== datagrams.length) {
    throw new Error('Two flows share an entry of the table.');
  }
  return grown;
}

function heapInUse(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
