/**
 * @file An operator stand-in: declares configurations with increasing versions, resends each to any control machine until
 * it is acknowledged, and reads the configuration periodically.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { DeclaredConfig, DeclaredRoute } from '../../registered/declared/declared-config.js';
import { WARM_UP_MS, type CallControl } from './stand-in-backend.js';
import type { StandInParts } from './world-parts.js';

const OPERATOR_HOST = '100.127.0.1';
const CALL_TIMEOUT_MS = 1_000;
const RETRY_PAUSE_MS = 100;
const READ_INTERVAL_MS = 200;
const IDLE_TIMEOUT_MS = 15_000;
const REQUEST_TIMEOUT_MS = 2_000;
const ROUTE_HOST = '198.18.0.1';
const FIRST_PORT = 443;
const ROUTE_COUNT = 3;
/** Hosts over which idle routes are distributed. */
const IDLE_HOST_COUNT = 200;

/** The services of the simulated deployment. */
export const SIMULATED_SERVICES = ['alpha', 'beta'] as const;

/** Declares and reads configurations. */
export class StandInOperator {
  /** Share of acknowledgements that are lost, 0 to 1. */
  ackLossShare = 0;
  /** Number of routes without clients in the next configurations. */
  idleRouteCount = 0;
  /** Number of priorities that the routes of the next configurations have in turn; 0 for none. */
  priorityCount = 0;
  private version = 0;
  private config: DeclaredConfig | undefined;
  /** Newest version in which a service is a target of a route; the key is "route service". */
  private readonly newestVersions = new Map<string, number>();

  constructor(
    private readonly callControl: CallControl,
    private readonly parts: StandInParts,
  ) {
    this.scheduleRead();
  }

  /** The routes of the newest configuration sent, without idle routes. */
  routes(): readonly Address[] {
    const inUse = (this.config?.routes ?? []).slice(0, ROUTE_COUNT);
    return inUse.map(({ host, port }) => ({ host, port }));
  }

  newestVersion(route: string, service: string): number {
    return this.newestVersions.get(`${route} ${service}`) ?? 0;
  }

  /** Sends a new random configuration; `acknowledged` is called with its version. */
  declareNext(acknowledged: (version: number) => void = () => undefined): void {
    const { random, oracle } = this.parts;
    this.version += 1 + random.nextInt(3);
    const config = this.drawConfig(this.version);
    this.config = config;
    for (const { host, port, targets } of config.routes) {
      const route = formatAddress({ host, port });
      for (const { service } of targets) {
        oracle.recordAllowedRoute(route, service);
        this.newestVersions.set(`${route} ${service}`, config.version);
      }
    }
    this.sendUntilAcknowledged(config, acknowledged);
  }

  /** Reads the configuration; `answered` gets its version, 0 for none, undefined if the read failed. */
  read(answered: (version: number | undefined) => void): void {
    this.callControl(OPERATOR_HOST, { type: 'read-config' }, (reply) => {
      answered(reply.type === 'config' ? (reply.document?.version ?? 0) : undefined);
    });
  }

  private drawConfig(version: number): DeclaredConfig {
    const { random } = this.parts;
    const routes = Array.from({ length: ROUTE_COUNT }, (_, index): DeclaredRoute => {
      const service = SIMULATED_SERVICES[random.nextInt(SIMULATED_SERVICES.length)] ?? 'alpha';
      return {
        name: `route-${index}`,
        host: ROUTE_HOST,
        port: FIRST_PORT + index,
        targets: [{ service, weight: 1 }],
        kind: 'repeatable',
        timeoutMs: REQUEST_TIMEOUT_MS,
        ...(this.priorityCount > 0 && { priority: (this.version + index) % this.priorityCount }),
      };
    });
    const { coldRequestsPerS } = this.parts.options;
    const services = SIMULATED_SERVICES.map((name) => ({
      name,
      warmUpMs: WARM_UP_MS,
      coldRequestsPerS,
    }));
    routes.push(...Array.from({ length: this.idleRouteCount }, (_, index) => idleRoute(index)));
    return { version, routes, services, idleTimeoutMs: IDLE_TIMEOUT_MS };
  }

  private sendUntilAcknowledged(
    config: DeclaredConfig,
    acknowledged: (version: number) => void,
  ): void {
    const { clock, random, oracle } = this.parts;
    let isDone = false;
    const document = { version: config.version, text: JSON.stringify(config) };
    let attempts = 0;
    const attempt = (number: number) => {
      if (isDone || number !== attempts) {
        return;
      }
      attempts += 1;
      const nextNumber = attempts;
      this.callControl(OPERATOR_HOST, { type: 'declare-config', document }, (reply) => {
        const isLost = random.nextFloat() < this.ackLossShare;
        if (reply.type === 'accepted' && !isDone && !isLost) {
          isDone = true;
          oracle.recordAcknowledgedConfig(config.version, clock.nowMs);
          acknowledged(config.version);
        } else if (reply.type === 'unavailable') {
          clock.after(RETRY_PAUSE_MS, () => attempt(nextNumber));
        }
      });
      clock.after(CALL_TIMEOUT_MS + RETRY_PAUSE_MS, () => attempt(nextNumber));
    };
    attempt(0);
  }

  private scheduleRead(): void {
    const { clock, oracle } = this.parts;
    clock.after(READ_INTERVAL_MS, () => {
      const sentAtMs = clock.nowMs;
      this.read((version) => {
        if (version !== undefined) {
          oracle.checkRead(version, sentAtMs, clock.nowMs);
        }
      });
      this.scheduleRead();
    });
  }
}

function idleRoute(index: number): DeclaredRoute {
  return {
    name: `idle-${index}`,
    host: `198.19.0.${1 + (index % IDLE_HOST_COUNT)}`,
    port: FIRST_PORT + Math.floor(index / IDLE_HOST_COUNT),
    targets: [{ service: SIMULATED_SERVICES[0], weight: 1 }],
    kind: 'repeatable',
    timeoutMs: REQUEST_TIMEOUT_MS,
  };
}
