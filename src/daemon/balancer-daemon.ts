/**
 * @file The balancer daemon: sockets, timers and links around the balancer's decision step.
 */
import type { Address } from '../common/address.js';
import { loggerFor } from '../common/logger.js';
import { balancerStep } from '../balancer/balancer-step.js';
import type { BalancerEffect, BalancerEvent } from '../balancer/balancer-events.js';
import { createBalancerState, type BalancerState } from '../balancer/balancer-state.js';
import type { Settings } from '../settings/settings-schema.js';
import { ControlClient } from './control-client.js';
import { HealthProber } from './health-prober.js';
import { systemContextSource } from './system-context.js';
import { bindUdp, type UdpSocket } from './udp-socket.js';

const TICK_INTERVAL_MS = 20;
const STOP_POLL_INTERVAL_MS = 50;

/** A running balancer daemon. */
export interface BalancerDaemon {
  readonly frontAddress: Address;
  /** The state; to be read only. */
  readonly state: BalancerState;
  /** Stops: no new opens, then forwards on for the grace time, then ends. */
  stop(graceMs: number): Promise<void>;
}

/**
 * Starts a balancer daemon.
 * @returns the daemon; rejects where an address can't be bound
 */
export async function startBalancerDaemon(settings: Settings): Promise<BalancerDaemon> {
  const logger = loggerFor('balancer');
  const { balancer, nodeId, zone } = settings;
  const state = createBalancerState({ ...balancer, balancerId: nodeId, zone });
  const contexts = systemContextSource();
  const sockets: { fabric?: UdpSocket; backends?: UdpSocket } = {};
  const step = (event: BalancerEvent): void => {
    balancerStep(state, event, contexts.now()).forEach((effect) => perform(sockets, effect));
  };
  sockets.fabric = await bindUdp(balancer.frontAddress, (datagram, replyTo) =>
    step({ type: 'client-datagram', datagram, replyTo }),
  );
  sockets.backends = await bindUdp(balancer.backAddress, (datagram) =>
    step({ type: 'backend-datagram', datagram }),
  );
  const prober = new HealthProber({
    intervalMs: balancer.probeIntervalMs,
    backends: () => state.config.backends.values(),
    onResult: (result) => step({ type: 'probe-result', result }),
  });
  const client = new ControlClient({
    controlAddresses: balancer.controlAddresses,
    clusterKey: settings.clusterKey,
    balancerId: nodeId,
    zone,
    position: () => state.position,
    onUpdate: (update) => {
      step({ type: 'config-update', update });
      prober.probeAll();
    },
    logger,
  });
  client.start();
  prober.start();
  const timer = setInterval(() => step({ type: 'tick' }), TICK_INTERVAL_MS);
  logger.info(`Balancer ${nodeId} is ready on port ${sockets.fabric.address.port}.`);
  return {
    frontAddress: sockets.fabric.address,
    state,
    stop: async (graceMs) => {
      step({ type: 'stop' });
      logger.info(`Balancer ${nodeId} takes no new flows.`);
      await finishPendingOpens(state, graceMs);
      prober.stop();
      client.stop();
      clearInterval(timer);
      await Promise.all([sockets.fabric?.close(), sockets.backends?.close()]);
      logger.info(`Balancer ${nodeId} has stopped.`);
    },
  };
}

function perform(
  sockets: { fabric?: UdpSocket; backends?: UdpSocket },
  effect: BalancerEffect,
): void {
  const socket = effect.via === 'fabric' ? sockets.fabric : sockets.backends;
  socket?.send(effect.datagram, effect.to);
}

/** Waits for the grace time, in which established flows are forwarded on. */
async function finishPendingOpens(state: BalancerState, graceMs: number): Promise<void> {
  const endsAt = performance.now() + graceMs;
  while (performance.now() < endsAt || (graceMs > 0 && state.pendingOpens.size > 0)) {
    await new Promise((resolve) => setTimeout(resolve, STOP_POLL_INTERVAL_MS));
  }
}
