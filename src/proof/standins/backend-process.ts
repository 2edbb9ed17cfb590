/**
 * @file Runs a stand-in back end with a UDP socket for packets and HTTP endpoints: `GET /health` (query
 * `serviceId` and `backendId`), `GET /load`, `POST /drain`, `POST /publish`, `POST /crash`, and for
 * test oracles `GET /runs` and `GET /observe`, which returns the true load even if `/load` is faulty.
 */
import { randomInt } from 'node:crypto';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { z } from 'zod';
import type { Address } from '../../shared/common/address.js';
import { readJsonBody } from '../../managed/daemon/http-json.js';
import { respondJson } from '../../shared/daemon/json-response.js';
import { listenHttp } from '../../shared/daemon/http-server.js';
import { systemContextSource } from '../../shared/daemon/system-context.js';
import { bindUdp, type UdpSocket } from '../../shared/daemon/udp-socket.js';
import type { BackendOptions } from './backend-options.js';
import {
  createBackendState,
  healthReport,
  isDown,
  loadReport,
  updateBusySlotMs,
  type BackendState,
} from './backend-state.js';
import { backendStep, type BackendEvent } from './backend-step.js';

const TICK_INTERVAL_MS = 5;
const INCARNATION_BOUND = 2 ** 32;

const publishSchema = z.strictObject({ number: z.number().int().min(1), payload: z.string() });
const crashSchema = z.strictObject({ downMs: z.number().min(0) });
const assignmentSchema = z.object({
  serviceId: z.coerce.number().int().min(0),
  backendId: z.coerce.number().int().min(0),
});

/** A running back end. */
export interface BackendProcess {
  readonly address: Address;
  readonly healthAddress: Address;
  /** For observation only; callers must not modify it. */
  readonly state: BackendState;
  stop(): Promise<void>;
}

/**
 * Starts a back end.
 * @param host IP address to bind; the system chooses the ports
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
    if (isDown(state, performance.now())) {
      incoming.socket.destroy();
      return;
    }
    const url = new URL(incoming.url ?? '/', 'http://backend');
    switch (url.pathname) {
      case '/health':
        applyAssignment(url.searchParams, step);
        respondJson(response, 200, healthReport(state, performance.now()));
        break;
      case '/load':
        respondJson(response, 200, loadReport(state));
        break;
      case '/drain':
        step({ type: 'drain' });
        respondJson(response, 200, {});
        break;
      case '/publish':
        void handleBody(incoming, response, publishSchema, ({ number, payload }) => {
          step({ type: 'publish', number, payload: Buffer.from(payload) });
          return { expectedNumber: state.notices.expectedNumber };
        });
        break;
      case '/crash':
        void handleBody(incoming, response, crashSchema, ({ downMs }) => {
          step({ type: 'crash', incarnation: randomInt(INCARNATION_BOUND), downMs });
          return {};
        });
        break;
      case '/observe':
        updateBusySlotMs(state, performance.now());
        respondJson(response, 200, { connections: state.flows.size, busySlotMs: state.busySlotMs });
        break;
      case '/runs':
        respondJson(response, 200, { runs: state.executedRequests, misrouted: state.misrouted });
        break;
      default:
        respondJson(response, 404, {});
    }
  };
}

function applyAssignment(query: URLSearchParams, step: (event: BackendEvent) => void): void {
  const parsed = assignmentSchema.safeParse(Object.fromEntries(query));
  if (parsed.success) {
    step({ type: 'assign', assignment: parsed.data });
  }
}

async function handleBody<Body>(
  incoming: IncomingMessage,
  response: ServerResponse,
  schema: z.ZodType<Body>,
  act: (body: Body) => object,
): Promise<void> {
  const body = await readJsonBody(incoming);
  const parsed = schema.safeParse(body.unwrapOr(undefined));
  if (parsed.success) {
    respondJson(response, 200, act(parsed.data));
  } else {
    respondJson(response, 400, { error: 'The request body is invalid.' });
  }
}
