/**
 * @file What a balancer needs around it in the forwarding bench: a link that hands it one
 * configuration, and one HTTP endpoint that answers the probes of all back ends.
 */
import type { Address } from '../../shared/common/address.js';
import { listenHttp } from '../../shared/daemon/http-server.js';
import { respondJson } from '../../shared/daemon/json-response.js';
import { listenForLinks, type MessageLink } from '../../managed/daemon/message-link.js';
import { LEASE_DURATION_MS, type LeaseGrant } from '../../managed/dissemination/lease.js';
import type { BalancerToControlMessage } from '../../managed/dissemination/link-messages.js';
import { BENCH_INCARNATION, benchConfig, benchDelta } from './bench-forward-config.js';
import { processorTimeMs } from './bench-forward-process.js';

/** Back ends that a balancer gets first. */
const FIRST_BACKENDS = 10;
const SETTLE_POLL_MS = 500;
const SETTLE_LIMIT_MS = 30_000;
/** Share of one processor below which a balancer counts as idle. */
const IDLE_SHARE = 0.3;
const CONNECTION_LIMIT = 1_000_000;
const loopback: Address = { host: '127.0.0.1', port: 0 };

/** A configuration source with the endpoints of its back ends. */
export interface BenchControl {
  readonly linkAddress: Address;
  /** Resolves once the configuration is in force and the balancer process is about idle. */
  settle(balancerPid: number): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts the link and the HTTP endpoint.
 * @param backendPort UDP port at which all back ends receive
 */
export async function startBenchControl(
  backendCount: number,
  backendPort: number,
): Promise<BenchControl> {
  let indexInForce = 0;
  const health = await listenHttp(loopback, (request, response) => {
    const isHealth = request.url?.startsWith('/health') ?? false;
    respondJson(response, 200, isHealth ? readyReport : idleReport);
  });
  const places = { port: backendPort, healthAddress: health.address };
  const config = benchConfig(backendCount, places);
  // A balancer probes all that come with one update at once, and its ports may not reach for thousands: those
  // that take new flows in this bench come first.
  const firstCount = Math.min(backendCount, FIRST_BACKENDS);
  const first = benchConfig(firstCount, places);
  const delta = benchDelta(config, firstCount);
  const linked: { link?: MessageLink } = {};
  const links = await listenForLinks(loopback, {
    onMessage: (message, link) => {
      linked.link = link;
      const sent = message as BalancerToControlMessage;
      if (sent.type === 'subscribe' && sent.position.index === 0) {
        link.send({ type: 'update', update: first });
      }
      indexInForce = Math.max(indexInForce, sent.position.index);
      link.send({ type: 'heartbeat', committed: sent.position, lease: grantLease(sent.sentAtMs) });
      return true;
    },
    onClose: () => undefined,
  });
  const settleAt = (pid: number, index: number): Promise<void> =>
    settle(pid, () => indexInForce >= index);
  return {
    linkAddress: links.address,
    settle: async (balancerPid) => {
      await settleAt(balancerPid, first.to.index);
      linked.link?.send({ type: 'update', update: delta });
      await settleAt(balancerPid, delta.to.index);
    },
    close: async () => {
      await Promise.all([links.close(), health.close()]);
    },
  };
}

/** The configuration never changes here, so every lease may be extended. */
function grantLease(askedAtMs: number): LeaseGrant {
  return { askedAtMs, remainingMs: LEASE_DURATION_MS, floorIndex: 0 };
}

async function settle(balancerPid: number, isInForce: () => boolean): Promise<void> {
  const endsAtMs = performance.now() + SETTLE_LIMIT_MS;
  let usedMs = processorTimeMs(balancerPid);
  for (;;) {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_POLL_MS));
    const nowUsedMs = processorTimeMs(balancerPid);
    if (isInForce() && nowUsedMs - usedMs < IDLE_SHARE * SETTLE_POLL_MS) {
      return;
    }
    if (performance.now() > endsAtMs) {
      throw new Error('The balancer did not come to rest with its configuration in force.');
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
