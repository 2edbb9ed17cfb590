/**
 * @file Measures the memory per established flow of `balancerStep` and of a flow table. Requires
 * `--expose-gc` to read the heap size after a full garbage collection.
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
const LOOPBACK = { host: '127.0.0.1', port: 0 };

/** Forwards one packet of each established flow and measures the heap growth per flow. */
export function measureMemory(flowCount: number): MemoryResult {
  const datagrams = establishedDatagrams(flowCount, BACKEND_COUNT);
  return {
    flowCount,
    bytesPerFlow: measureStateGrowth(datagrams) / flowCount,
    bytesPerFlowOfTable: measureFlowTableGrowth(datagrams) / flowCount,
  };
}

/** @returns heap growth of the balancer state in bytes */
function measureStateGrowth(datagrams: readonly Buffer[]): number {
  const state = createBalancerState({
    ...defaultBalancerOptions,
    balancerId: 'bench',
    zone: 'zone-a',
    clusterKey: 'bench-cluster-key',
    controlAddresses: [],
  });
  applyConfigUpdate(state, benchConfig(BACKEND_COUNT, { port: 1, healthAddress: LOOPBACK }));
  state.subscription.lease.expiresAtMs = Infinity;
  const context = { nowMs: 0, random: seededRandom(1) };
  const forward = (datagram: Buffer): void => {
    // Copied because decoders may keep a view of the buffer, and a socket delivers a new one each time.
    const copy = Buffer.from(datagram);
    balancerStep(state, { type: 'client-datagram', datagram: copy, replyTo: LOOPBACK }, context);
  };
  datagrams.slice(0, WARM_UP_FLOWS).forEach(forward);
  const initialBytes = usedHeapBytes();
  datagrams.forEach(forward);
  const growthBytes = usedHeapBytes() - initialBytes;
  if (state.forwardedPackets !== datagrams.length + Math.min(WARM_UP_FLOWS, datagrams.length)) {
    throw new Error('The balancer did not forward all packets.');
  }
  return growthBytes;
}

/** @returns heap growth in bytes of a map from flow to back end */
function measureFlowTableGrowth(datagrams: readonly Buffer[]): number {
  const table = new Map<string, number>();
  const initialBytes = usedHeapBytes();
  for (const datagram of datagrams) {
    const { client, packet } = decodeEnvelope(Buffer.from(datagram))._unsafeUnwrap();
    const { destinationId } = parseShortHeader(packet, TOKEN_LENGTH_BYTES)._unsafeUnwrap();
    const { flowId, backendId } = readToken(destinationId);
    table.set(`${formatAddress(client)}/${Buffer.from(flowId).toString('hex')}`, backendId);
  }
  const growthBytes = usedHeapBytes() - initialBytes;
  if (table.size !== datagrams.length) {
    throw new Error('Two flows share a flow table entry.');
  }
  return growthBytes;
}

function usedHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
