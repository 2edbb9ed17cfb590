/**
 * @file The stand-in back end as a process: a UDP socket for packets, and HTTP endpoints for health
 * (`GET /health`), load (`GET /load`), drain (`POST /drain`) and the oracle (`GET /runs`).
 */
import { randomInt } from 'node:crypto';
import type { RequestListener } from 'node:http';
import type { Address } from '../common/address.js';
import { respondJson } from '../daemon/http-json.js';
import { listenHttp } from '../daemon/http-server.js';
import { systemContextSource } from '../daemon/system-context.js';
import { bindUdp, type UdpSocket } from '../daemon/udp-socket.js';
import {
  createBackendState,
  healthReport,
  loadReport,
  type BackendOptions,
  type BackendState,
} from './backend-state.js';
import { backendStep, type BackendEvent } from './backend-step.js';

const TICK_INTERVAL_MS = 5;
const INCARNATION_BOUND = 2 ** 32;

/** A running back end. */
export interface BackendProcess {
  readonly address: Address;
  readonly healthAddress: Address;
  /** The state; to be read only. */
  readonly state: BackendState;
  stop(): Promise<void>;
}

/**
 * Starts a back end.
 * @param host IP number to bind; the ports are chosen by the system
 */
export async function startBackend(options: BackendOptions, host: string): Promise<BackendProcess> {
  const contexts = systemContextSource();
  const state = createBackendState(options, randomInt(INCARNATION_BOUND), contexts.now().nowMs);
  const socketSlot: { socket?: UdpSocket } = {};
  const step = (event: BackendEvent): void => {
    for (const effect of backendStep(state, event, contexts.now())) {
      socketSlot.socket?.send(effect.datagram, effect.to);
    }
  };
  const socket = await bindUdp({ host, port: 0 }, (datagram, from) =>
    step({ type: 'datagram', datagram, from }),
  );
  socketSlot.socket = socket;
  const http = await listenHttp({ host, port: 0 }, endpoints(state, step));
  const timer = setInterval(() => step({ type: 'tick' }), TICK_INTERVAL_MS);
  return {
    address: socket.address,
    healthAddress: http.address,
    state,
    stop: async () => {
      clearInterval(timer);
      await Promise.all([socket.close(), http.close()]);
    },
  };
}

function endpoints(state: BackendState, step: (event: BackendEvent) => void): RequestListener {
  return (incoming, response) => {
    switch (incoming.url) {
      case '/health':
        respondJson(response, 200, healthReport(state, performance.now()));
        break;
      case '/load':
        respondJson(response, 200, loadReport(state));
        break;
      case '/drain':
        step({ type: 'drain' });
        respondJson(response, 200, {});
        break;
      case '/runs':
        respondJson(response, 200, { runs: state.runs, misrouted: state.misrouted });
        break;
      default:
        respondJson(response, 404, {});
    }
  };
}
