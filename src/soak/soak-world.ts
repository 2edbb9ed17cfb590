/**
 * @file The deployment of a soak: real control machines and balancers as processes on loopback, a proxy in
 * front of the links of each control machine, and stand-ins for clients, back ends and an operator in this
 * process, judged by the oracle of the simulator.
 */
import { join } from 'node:path';
import { formatAddress, type Address } from '../common/address.js';
import { seededRandom } from '../common/random.js';
import { sendJson } from '../daemon/http-json.js';
import { IngressOracle } from '../sim/ingress/ingress-oracle.js';
import { StandInBackend, type CallControl } from '../sim/ingress/stand-in-backend.js';
import { StandInClient } from '../sim/ingress/stand-in-client.js';
import { SIMULATED_SERVICES, StandInOperator } from '../sim/ingress/stand-in-operator.js';
import {
  smallIngressWorld,
  type IngressWorldOptions,
  type StandInParts,
} from '../sim/ingress/world-parts.js';
import { startLinkProxy, type LinkProxy } from './link-proxy.js';
import { createSoakCalls } from './soak-calls.js';
import { createSoakClock, type SoakClock } from './soak-clock.js';
import { createSoakProcess, type SoakProcess } from './soak-process.js';
import { createSoakWires, type SoakWires } from './soak-wires.js';

/** Sizes of a soak: some ten processes, well under half of a machine. */
export const soakSizes = { controls: 5, balancers: 4, backends: 6, clients: 12 } as const;

/** Hosts on loopback, by role. */
const hosts = {
  control: (number: number) => `127.10.1.${number}`,
  backend: (number: number) => `127.10.2.${number}`,
  balancer: (number: number) => `127.10.3.${number}`,
  client: (number: number) => `127.10.4.${number}`,
} as const;

const LINK_PORT = 7_700;
/** Behind the proxy, which listens at `LINK_PORT`. */
const OWN_LINK_PORT = 7_701;
const CALL_PORT = 7_702;
const PEER_PORT = 7_700;
const READY_PORT = 7_703;
const PACKET_PORT = 8_000;
const BACKEND_PORT = 9_000;
const SEED_COUNT = 3;
const LONG_FLOW_REQUESTS = 40;
const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 400;
const MISSES_UNTIL_OUT = 2;
const OPERATOR_TOKEN = 'soak-operator-token';
const ZONES = ['zone-a', 'zone-b'] as const;
const HTTP_OK = 200;

/** One control machine of a soak. */
export interface SoakControl {
  readonly process: SoakProcess;
  readonly proxy: LinkProxy;
  readonly dataFolder: string;
}

/** The deployment. */
export interface SoakWorld {
  readonly clock: SoakClock;
  readonly wires: SoakWires;
  readonly oracle: IngressOracle;
  readonly options: IngressWorldOptions;
  readonly controls: readonly SoakControl[];
  readonly balancers: readonly SoakProcess[];
  readonly backends: readonly StandInBackend[];
  readonly clients: readonly StandInClient[];
  readonly operator: StandInOperator;
  /** Starts a back end, at the address of one that is gone where one is given. */
  addBackend(service: string, address?: Address): void;
  startClients(): void;
  /** @returns true once all control machines and balancers are at work */
  isReady(): boolean;
  /** Reads the configuration back from each control machine that answers. */
  readBack(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts the processes.
 * @param folder where their logs and disks go
 */
export async function startSoakWorld(seed: number, folder: string): Promise<SoakWorld> {
  const random = seededRandom(seed);
  const options: IngressWorldOptions = {
    ...smallIngressWorld,
    controlCount: soakSizes.controls,
    balancerCount: soakSizes.balancers,
  };
  const clock = createSoakClock();
  const wires = createSoakWires(random);
  const oracle = new IngressOracle(options);
  const parts: StandInParts = { clock, random, wires, oracle, options };
  const controls = await startControls(folder, options);
  const balancers = startBalancers(folder, options);
  const callControl = createSoakCalls({
    controlAddresses: controls.map((_, index) => callAddress(index)),
    operatorToken: OPERATOR_TOKEN,
    random,
  });
  const probes = startProbes(clock, balancers);
  const operator = new StandInOperator(callControl, parts);
  const standIns = createStandIns(parts, callControl, operator, probes);
  return {
    clock,
    wires,
    oracle,
    options,
    controls,
    balancers,
    operator,
    ...standIns,
    isReady: () => probes.areAllIn() && controls.every(({ process }) => process.isRunning),
    readBack: () => readBack(controls, oracle, clock),
    close: async () => {
      clock.stop();
      wires.close();
      [...controls.map(({ process }) => process), ...balancers].forEach((process) => {
        process.wake();
        process.kill();
      });
      await Promise.all(controls.map(({ proxy }) => proxy.close()));
    },
  };
}

async function startControls(folder: string, options: IngressWorldOptions): Promise<SoakControl[]> {
  const seeds = Array.from({ length: SEED_COUNT }, (_, index) => linkAddress(index));
  const controls: SoakControl[] = [];
  for (let index = 0; index < options.controlCount; index += 1) {
    const name = `control-${index + 1}`;
    const host = hosts.control(index + 1);
    const behind: Address = { host, port: OWN_LINK_PORT };
    const dataFolder = join(folder, name);
    const process = createSoakProcess({
      name,
      command: 'group',
      logFile: join(folder, `${name}.log`),
      firstSettings: { isFirstStart: true },
      settings: {
        name,
        zone: ZONES[index % ZONES.length],
        dataFolder,
        linkAddress: formatAddress(linkAddress(index)),
        listenAddress: formatAddress(behind),
        callAddress: formatAddress(callAddress(index)),
        seeds: seeds.map(formatAddress),
        tolerableLosses: options.tolerableLosses,
        catchUpMs: options.catchUpMs,
        heartbeatIntervalMs: options.heartbeatIntervalMs,
        operatorToken: OPERATOR_TOKEN,
      },
    });
    process.start();
    controls.push({ process, proxy: await startLinkProxy(linkAddress(index), behind), dataFolder });
  }
  return controls;
}

function startBalancers(folder: string, options: IngressWorldOptions): SoakProcess[] {
  const controlSeeds = Array.from({ length: SEED_COUNT }, (_, index) => linkAddress(index));
  return Array.from({ length: options.balancerCount }, (_, index) => {
    const name = `balancer-${index + 1}`;
    const host = hosts.balancer(index + 1);
    const process = createSoakProcess({
      name,
      command: 'ingress',
      logFile: join(folder, `${name}.log`),
      settings: {
        name,
        zone: ZONES[index % ZONES.length],
        packetAddress: formatAddress({ host, port: PACKET_PORT }),
        peerAddress: formatAddress({ host, port: PEER_PORT }),
        readyAddress: formatAddress({ host, port: READY_PORT }),
        controlSeeds: controlSeeds.map(formatAddress),
        heartbeatIntervalMs: options.heartbeatIntervalMs,
      },
    });
    process.start();
    return process;
  });
}

/** Which balancers the routers use. */
interface Probes {
  areAllIn(): boolean;
  pick(flow: string): Address | undefined;
}

function startProbes(clock: SoakClock, balancers: readonly SoakProcess[]): Probes {
  const misses = balancers.map(() => MISSES_UNTIL_OUT);
  probeAll();
  return { areAllIn: () => misses.every((count) => count === 0), pick };

  function probeAll(): void {
    balancers.forEach((_, index) => void probe(index));
    clock.after(PROBE_INTERVAL_MS, probeAll);
  }

  async function probe(index: number): Promise<void> {
    const to = { host: hosts.balancer(index + 1), port: READY_PORT };
    const answer = await sendJson({ to, method: 'GET', path: '/', timeoutMs: PROBE_TIMEOUT_MS });
    const isIn = answer.match(
      ({ status }) => status === HTTP_OK,
      () => false,
    );
    misses[index] = isIn ? 0 : (misses[index] ?? 0) + 1;
  }

  /** Routers hash by the number of balancers that are in; by all where fewer than half are. */
  function pick(flow: string): Address | undefined {
    const all = misses.map((_, index) => index);
    const inUse = all.filter((index) => (misses[index] ?? 0) < MISSES_UNTIL_OUT);
    const pool = inUse.length * 2 < all.length ? all : inUse;
    let hash = 0;
    for (const letter of flow) {
      hash = (Math.imul(hash, 31) + (letter.codePointAt(0) ?? 0)) >>> 0;
    }
    const index = pool[hash % pool.length];
    return index === undefined ? undefined : { host: hosts.balancer(index + 1), port: PACKET_PORT };
  }
}

type StandIns = Pick<SoakWorld, 'backends' | 'clients' | 'addBackend' | 'startClients'>;

function createStandIns(
  parts: StandInParts,
  callControl: CallControl,
  operator: StandInOperator,
  probes: Probes,
): StandIns {
  const backends: StandInBackend[] = [];
  const clients: StandInClient[] = [];
  for (let index = 0; index < soakSizes.backends; index += 1) {
    addBackend(SIMULATED_SERVICES[index % SIMULATED_SERVICES.length] ?? 'alpha');
  }
  return { backends, clients, addBackend, startClients };

  function addBackend(service: string, address?: Address): void {
    const number = backends.length + 1;
    const identity = {
      id: `backend-${number}`,
      number,
      service,
      address: address ?? { host: hosts.backend(number), port: BACKEND_PORT },
      zone: ZONES[number % ZONES.length] ?? 'zone-a',
    };
    backends.push(
      new StandInBackend(identity, parts, callControl, (route, ofService) =>
        operator.newestVersion(route, ofService),
      ),
    );
  }

  function startClients(): void {
    const world = {
      pickBalancer: (flow: string) => probes.pick(flow),
      isHeldOpen: (client: string, acceptNumber: number) =>
        backends.some((backend) => backend.holdsOpen(client, acceptNumber)),
      routes: () => operator.routes(),
    };
    for (let index = 0; index < soakSizes.clients; index += 1) {
      const requestsPerFlow = index % 2 === 0 ? 1 : LONG_FLOW_REQUESTS;
      const client = new StandInClient(hosts.client(index + 1), requestsPerFlow, world, parts);
      clients.push(client);
      client.start();
    }
  }
}

async function readBack(
  controls: readonly SoakControl[],
  oracle: IngressOracle,
  clock: SoakClock,
): Promise<void> {
  const reads = controls.map((_, index) =>
    sendJson({
      to: callAddress(index),
      method: 'GET',
      path: '/v1/config',
      bearerToken: OPERATOR_TOKEN,
      timeoutMs: PROBE_TIMEOUT_MS,
    }),
  );
  for (const read of reads) {
    const answer = await read;
    answer.map(({ status, body }) => {
      if (status === HTTP_OK) {
        const { version } = body as { readonly version: number };
        oracle.noteFinalRead(version, clock.nowMs);
      }
    });
  }
}

function linkAddress(index: number): Address {
  return { host: hosts.control(index + 1), port: LINK_PORT };
}

function callAddress(index: number): Address {
  return { host: hosts.control(index + 1), port: CALL_PORT };
}
