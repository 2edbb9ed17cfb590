/**
 * @file The deployment of a soak: real control machines and balancers as processes on loopback, a proxy in
 * front of the links of each control machine, and stand-ins for clients, back ends and an operator in this
 * process, checked by the oracle of the simulator.
 */
import { join } from 'node:path';
import { formatAddress, type Address } from '../../shared/common/address.js';
import { seededRandom } from '../../shared/common/random.js';
import { sendJson } from '../../managed/daemon/http-json.js';
import { hashOfFlow } from '../sim-registered/flow-hash.js';
import { IngressOracle } from '../sim-registered/ingress-oracle.js';
import { SIMULATED_ZONES, turnCold, zoneOfBackend } from '../sim-registered/simulated-zones.js';
import { createZoneOperator, type ZoneOperator } from '../sim-registered/zone-operator.js';
import {
  StandInBackend,
  type BackendIdentity,
  type CallControl,
} from '../sim-registered/stand-in-backend.js';
import { StandInClient } from '../sim-registered/stand-in-client.js';
import { SIMULATED_SERVICES, StandInOperator } from '../sim-registered/stand-in-operator.js';
import {
  smallIngressWorld,
  type IngressWorldOptions,
  type StandInParts,
  oracleBoundsOf,
} from '../sim-registered/world-parts.js';
import { startLinkProxy, type LinkProxy } from './link-proxy.js';
import { createSoakCalls } from './soak-calls.js';
import { createSoakClock, type SoakClock } from './soak-clock.js';
import { readBack } from './read-back.js';
import { createSoakProcess, type SoakProcess } from './soak-process.js';
import { createSoakWires, type SoakWires } from './soak-wires.js';
import {
  SEED_COUNT,
  LONG_FLOW_REQUESTS,
  PROBE_INTERVAL_MS,
  MAX_MISSED_PROBES,
} from '../sim-registered/deployment-constants.js';

/** How large the deployment of a soak is. */
export interface SoakSizes {
  readonly controls: number;
  readonly balancers: number;
  readonly backends: number;
  readonly clients: number;
}

/** What a soak takes for its deployment. */
export interface SoakPlace {
  readonly sizes: SoakSizes;
  /** Second number of its addresses on loopback; soaks beside each other take different ones. */
  readonly block: number;
}

/** Nine processes, well under half of a machine. */
export const smallSoak: SoakPlace = {
  sizes: { controls: 5, balancers: 4, backends: 6, clients: 12 },
  block: 10,
};

/** Hosts on loopback, by role. */
type SoakHosts = Readonly<Record<keyof SoakSizes, (number: number) => string>>;

function hostsOf(block: number): SoakHosts {
  return {
    controls: (number) => `127.${block}.1.${number}`,
    backends: (number) => `127.${block}.2.${number}`,
    balancers: (number) => `127.${block}.3.${number}`,
    clients: (number) => `127.${block}.4.${number}`,
  };
}

const LINK_PORT = 7_700;
/** Behind the proxy, which listens at `LINK_PORT`. */
const OWN_LINK_PORT = 7_701;
const CALL_PORT = 7_702;
const PEER_PORT = 7_700;
const READY_PORT = 7_703;
const PACKET_PORT = 8_000;
const BACKEND_PORT = 9_000;
const PROBE_TIMEOUT_MS = 400;
const MAX_KEPT_FLOWS = 10_000;
const OPERATOR_TOKEN = 'soak-operator-token';
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
  readonly zoneOperator: ZoneOperator;
  /** Starts a back end, at the address of one that is gone where one is given. */
  addBackend(service: string, address?: Address): void;
  /** A back end ends without a word and starts again under its ID, at its address. */
  restartBackend(backend: StandInBackend): void;
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
export async function startSoakWorld(
  seed: number,
  folder: string,
  { sizes, block }: SoakPlace,
): Promise<SoakWorld> {
  const hosts = hostsOf(block);
  const random = seededRandom(seed);
  const options: IngressWorldOptions = {
    ...smallIngressWorld,
    controlCount: sizes.controls,
    balancerCount: sizes.balancers,
  };
  const clock = createSoakClock();
  const wires = createSoakWires(random);
  const oracle = new IngressOracle(oracleBoundsOf(options));
  const parts: StandInParts = { clock, random, wires, oracle, options };
  const controls = await startControls(folder, hosts, options);
  const balancers = startBalancers(folder, hosts, options);
  const callControl = createSoakCalls({
    controlAddresses: controls.map((_, index) => callAddress(hosts, index)),
    operatorToken: OPERATOR_TOKEN,
    random,
  });
  const probes = startProbes(clock, hosts, balancers);
  const operator = new StandInOperator(callControl, parts);
  const standIns = createStandIns(parts, { hosts, sizes }, callControl, operator, probes);
  const zoneOperator = createZoneOperator({
    ...parts,
    callControl,
    ackLossShare: () => operator.ackLossShare,
    beforeReadmission: (zone) => turnCold(standIns.backends, zone),
  });
  return {
    clock,
    wires,
    oracle,
    options,
    controls,
    balancers,
    operator,
    zoneOperator,
    ...standIns,
    isReady: () => probes.areAllIn() && controls.every(({ process }) => process.isRunning),
    readBack: () =>
      readBack({
        callAddresses: controls.map((_, index) => callAddress(hosts, index)),
        operatorToken: OPERATOR_TOKEN,
        oracle,
        clock,
      }),
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

async function startControls(
  folder: string,
  hosts: SoakHosts,
  options: IngressWorldOptions,
): Promise<SoakControl[]> {
  const seeds = Array.from({ length: SEED_COUNT }, (_, index) => linkAddress(hosts, index));
  const controls: SoakControl[] = [];
  for (let index = 0; index < options.controlCount; index += 1) {
    const name = `control-${index + 1}`;
    const host = hosts.controls(index + 1);
    const behind: Address = { host, port: OWN_LINK_PORT };
    const dataFolder = join(folder, name);
    const process = createSoakProcess({
      name,
      command: 'group',
      logFile: join(folder, `${name}.log`),
      firstSettings: { isFirstStart: true },
      settings: {
        name,
        zone: SIMULATED_ZONES[index % SIMULATED_ZONES.length],
        dataFolder,
        linkAddress: formatAddress(linkAddress(hosts, index)),
        listenAddress: formatAddress(behind),
        callAddress: formatAddress(callAddress(hosts, index)),
        seeds: seeds.map(formatAddress),
        tolerableLosses: options.tolerableLosses,
        catchUpMs: options.catchUpMs,
        heartbeatIntervalMs: options.heartbeatIntervalMs,
        operatorToken: OPERATOR_TOKEN,
        zones: [...SIMULATED_ZONES],
      },
    });
    process.start();
    controls.push({
      process,
      proxy: await startLinkProxy(linkAddress(hosts, index), behind),
      dataFolder,
    });
  }
  return controls;
}

function startBalancers(
  folder: string,
  hosts: SoakHosts,
  options: IngressWorldOptions,
): SoakProcess[] {
  const controlSeeds = Array.from({ length: SEED_COUNT }, (_, index) => linkAddress(hosts, index));
  return Array.from({ length: options.balancerCount }, (_, index) => {
    const name = `balancer-${index + 1}`;
    const host = hosts.balancers(index + 1);
    const process = createSoakProcess({
      name,
      command: 'ingress',
      logFile: join(folder, `${name}.log`),
      settings: {
        name,
        zone: SIMULATED_ZONES[index % SIMULATED_ZONES.length],
        packetAddress: formatAddress({ host, port: PACKET_PORT }),
        peerAddress: formatAddress({ host, port: PEER_PORT }),
        readyAddress: formatAddress({ host, port: READY_PORT }),
        controlSeeds: controlSeeds.map(formatAddress),
        heartbeatIntervalMs: options.heartbeatIntervalMs,
        ...(options.coldBounds && { coldBounds: options.coldBounds }),
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

function startProbes(
  clock: SoakClock,
  hosts: SoakHosts,
  balancers: readonly SoakProcess[],
): Probes {
  const misses = balancers.map(() => MAX_MISSED_PROBES);
  /** The balancers that flows stay with, by flow. */
  const kept = new Map<string, number>();
  probeAll();
  return { areAllIn: () => misses.every((count) => count === 0), pick };

  function probeAll(): void {
    balancers.forEach((_, index) => void probe(index));
    clock.after(PROBE_INTERVAL_MS, probeAll);
  }

  async function probe(index: number): Promise<void> {
    const to = { host: hosts.balancers(index + 1), port: READY_PORT };
    const answer = await sendJson({ to, method: 'GET', path: '/', timeoutMs: PROBE_TIMEOUT_MS });
    const isIn = answer.match(
      ({ status }) => status === HTTP_OK,
      () => false,
    );
    misses[index] = isIn ? 0 : (misses[index] ?? 0) + 1;
  }

  /**
   * Routers hash by the number of balancers that are in; by all where fewer than half are. Every second flow stays
   * with the balancer that it met first until the process is gone, as behind a router that remembers.
   */
  function pick(flow: string): Address | undefined {
    const hash = hashOfFlow(flow);
    const known = kept.get(flow);
    const isKept = known !== undefined && balancers[known]?.isRunning === true;
    const index = isKept ? known : pickByHash(hash);
    if (index === undefined) {
      return undefined;
    }
    if (!isKept && hash % 2 === 0) {
      keep(flow, index);
    }
    return { host: hosts.balancers(index + 1), port: PACKET_PORT };
  }

  function pickByHash(hash: number): number | undefined {
    const all = misses.map((_, index) => index);
    const inUse = all.filter((index) => (misses[index] ?? 0) < MAX_MISSED_PROBES);
    const pool = inUse.length * 2 < all.length ? all : inUse;
    return pool[hash % pool.length];
  }

  function keep(flow: string, index: number): void {
    kept.set(flow, index);
    const [oldest] = kept.keys();
    if (kept.size > MAX_KEPT_FLOWS && oldest !== undefined) {
      kept.delete(oldest);
    }
  }
}

type StandIns = Pick<
  SoakWorld,
  'backends' | 'clients' | 'addBackend' | 'restartBackend' | 'startClients'
>;

function createStandIns(
  parts: StandInParts,
  { hosts, sizes }: { readonly hosts: SoakHosts; readonly sizes: SoakSizes },
  callControl: CallControl,
  operator: StandInOperator,
  probes: Probes,
): StandIns {
  const backends: StandInBackend[] = [];
  const clients: StandInClient[] = [];
  let nextNumber = 1;
  for (let index = 0; index < sizes.backends; index += 1) {
    addBackend(SIMULATED_SERVICES[index % SIMULATED_SERVICES.length] ?? 'alpha');
  }
  return { backends, clients, addBackend, restartBackend, startClients };

  function addBackend(service: string, address?: Address): void {
    const number = nextNumber;
    nextNumber += 1;
    startBackend({
      id: `backend-${number}`,
      number,
      service,
      address: address ?? { host: hosts.backends(number), port: BACKEND_PORT },
      zone: zoneOfBackend(number),
    });
  }

  function restartBackend(backend: StandInBackend): void {
    const { identity } = backend;
    backend.crash();
    startBackend({
      ...identity,
      startNumber: (identity.startNumber ?? 0) + 1,
      startedAtMs: Math.round(parts.clock.nowMs),
    });
  }

  function startBackend(identity: BackendIdentity): void {
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
    for (let index = 0; index < sizes.clients; index += 1) {
      const requestsPerFlow = index % 2 === 0 ? 1 : LONG_FLOW_REQUESTS;
      const client = new StandInClient(hosts.clients(index + 1), requestsPerFlow, world, parts);
      clients.push(client);
      client.start();
    }
  }
}

function linkAddress(hosts: SoakHosts, index: number): Address {
  return { host: hosts.controls(index + 1), port: LINK_PORT };
}

function callAddress(hosts: SoakHosts, index: number): Address {
  return { host: hosts.controls(index + 1), port: CALL_PORT };
}
