/**
 * @file Minimal control machine of the forwarding benchmark: a link that configures a balancer,
 * and an HTTP endpoint that answers the probes of all back ends.
 */
import type { Address } from '../../shared/common/address.js';
import { listenHttp } from '../../shared/daemon/http-server.js';
import { respondJson } from '../../shared/daemon/json-response.js';
import { listenForLinks, type MessageLink } from '../../managed/daemon/message-link.js';
import { LEASE_DURATION_MS, type LeaseGrant } from '../../managed/dissemination/lease.js';
import type { BalancerToControlMessage } from '../../managed/dissemination/link-messages.js';
import { BENCH_INCARNATION, benchConfig, benchDelta } from './bench-forward-config.js';
import { processorTimeMs } from './bench-forward-process.js';

/** Back ends in the first configuration update. */
const INITIAL_BACKENDS = 10;
const SETTLE_POLL_MS = 500;
const SETTLE_TIMEOUT_MS = 30_000;
/** Share of one processor below which a balancer is considered idle. */
const MAX_IDLE_PROCESSOR_SHARE = 0.3;
const CONNECTION_LIMIT = 1_000_000;
const LOOPBACK: Address = { host: '127.0.0.1', port: 0 };

/** Configuration source and health endpoint for one balancer. */
export interface BenchControl {
  readonly linkAddress: Address;
  /** Resolves when the configuration is in force and the balancer process is idle. */
  settle(balancerPid: number): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts the link and the HTTP endpoint.
 * @param backendPort UDP port that all back ends receive on
 */
export async function startBenchControl(
  backendCount: number,
  backendPort: number,
): Promise<BenchControl> {
  let indexInForce = 0;
  const health = await listenHttp(LOOPBACK, (request, response) => {
    const isHealth = request.url?.startsWith('/health') ?? false;
    respondJson(response, 200, isHealth ? readyReport : idleReport);
  });
  const endpoints = { port: backendPort, healthAddress: health.address };
  const config = benchConfig(backendCount, endpoints);
  // A balancer probes all back ends of an update at once and can run out of ports with thousands of them.
  // The back ends that receive new flows are sent first.
  const initialCount = Math.min(backendCount, INITIAL_BACKENDS);
  const initialConfig = benchConfig(initialCount, endpoints);
  const delta = benchDelta(config, initialCount);
  const latest: { link?: MessageLink } = {};
  const links = await listenForLinks(LOOPBACK, {
    onMessage: (message, link) => {
      latest.link = link;
      const balancerMessage = message as BalancerToControlMessage;
      if (balancerMessage.type === 'subscribe' && balancerMessage.position.index === 0) {
        link.send({ type: 'update', update: initialConfig });
      }
      indexInForce = Math.max(indexInForce, balancerMessage.position.index);
      link.send({
        type: 'heartbeat',
        committed: balancerMessage.position,
        lease: grantLease(balancerMessage.sentAtMs),
      });
      return true;
    },
    onClose: () => undefined,
  });
  const settleAt = (pid: number, index: number): Promise<void> =>
    settle(pid, () => indexInForce >= index);
  return {
    linkAddress: links.address,
    settle: async (balancerPid) => {
      await settleAt(balancerPid, initialConfig.to.index);
      latest.link?.send({ type: 'update', update: delta });
      await settleAt(balancerPid, delta.to.index);
    },
    close: async () => {
      await Promise.all([links.close(), health.close()]);
    },
  };
}

/** Always extends the lease, since no newer configuration can be committed elsewhere. */
function grantLease(askedAtMs: number): LeaseGrant {
  return { askedAtMs, remainingMs: LEASE_DURATION_MS, floorIndex: 0 };
}

async function settle(balancerPid: number, isInForce: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + SETTLE_TIMEOUT_MS;
  let usedMs = processorTimeMs(balancerPid);
  for (;;) {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_POLL_MS));
    const nowUsedMs = processorTimeMs(balancerPid);
    if (isInForce() && nowUsedMs - usedMs < MAX_IDLE_PROCESSOR_SHARE * SETTLE_POLL_MS) {
      return;
    }
    if (performance.now() > deadlineMs) {
      throw new Error(
        'Timed out waiting for the balancer to be idle with its configuration in force.',
      );
    }
    usedMs = nowUsedMs;
  }
}

const readyReport = { incarnation: BENCH_INCARNATION, state: 'ready' };

const idleReport = {
  connections: 0,
  connectionLimit: CONNECTION_LIMIT,
  busySlots: 0,
  slots: 2,
  queuedRequests: 0,
};
