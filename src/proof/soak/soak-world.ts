/**
 * @file The deployment of a soak: control machines and balancers as child processes on loopback, a proxy in front of each
 * control machine, and in-process stand-ins for clients, back ends and the operator, checked by the simulator's oracle.
 */
import { join } from 'node:path';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { MechanismSwitches } from '../../registered/decisions/mechanism-switches.js';
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

/** Number of members of each role in a soak. */
export interface SoakSizes {
  readonly controls: number;
  readonly balancers: number;
  readonly backends: number;
  readonly clients: number;
}

/** Size and address block of a soak. */
export interface SoakDeployment {
  readonly sizes: SoakSizes;
  /** Second octet of the loopback addresses; parallel soaks need different ones. */
  readonly block: number;
  /** Switches of the balancers; the defaults if undefined. */
  readonly policy?: MechanismSwitches;
}

/** Default deployment: nine processes. */
export const smallSoak: SoakDeployment = {
  sizes: { controls: 5, balancers: 4, backends: 6, clients: 12 },
  block: 10,
};

/** Loopback hosts by role; members are numbered from 1. */
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
/** The machine listens here, behind the proxy on `LINK_PORT`. */
const PROXIED_LINK_PORT = 7_701;
const CALL_PORT = 7_702;
const PEER_PORT = 7_700;
const READY_PORT = 7_703;
const PACKET_PORT = 8_000;
const BACKEND_PORT = 9_000;
const PROBE_TIMEOUT_MS = 400;
const MAX_STICKY_FLOWS = 10_000;
const OPERATOR_TOKEN = 'soak-operator-token';
const HTTP_OK = 200;

/** One control machine of a soak with its proxy. */
export interface SoakControl {
  readonly process: SoakProcess;
  readonly proxy: LinkProxy;
  readonly dataFolder: string;
}

/** A running deployment of a soak. */
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
  /** Starts a back end, on a new address unless one is given. */
  addBackend(service: string, address?: Address): void;
  /** Crashes a back end and starts it again under the same ID and address. */
  restartBackend(backend: StandInBackend): void;
  startClients(): void;
  /** @returns true once all control machines run and all balancers are ready */
  isReady(): boolean;
  /** Reads configuration and zones back from each reachable control machine and checks them. */
  readBack(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts the deployment without its clients.
 * @param folder folder for logs and data of the processes
 */
export async function startSoakWorld(
  seed: number,
  folder: string,
  { sizes, block, policy = smallIngressWorld.policy }: SoakDeployment,
): Promise<SoakWorld> {
  const hosts = hostsOf(block);
  const random = seededRandom(seed);
  const options: IngressWorldOptions = {
    ...smallIngressWorld,
    controlCount: sizes.controls,
    balancerCount: sizes.balancers,
    policy,
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
    isReady: () => probes.areAllReady() && controls.every(({ process }) => process.isRunning),
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
        process.resume();
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
    const proxiedAddress: Address = { host, port: PROXIED_LINK_PORT };
    const dataFolder = join(folder, name);
    const process = createSoakProcess({
      name,
      command: 'group',
      logFile: join(folder, `${name}.log`),
      firstStartSettings: { isFirstStart: true },
      settings: {
        name,
        zone: SIMULATED_ZONES[index % SIMULATED_ZONES.length],
        dataFolder,
        linkAddress: formatAddress(linkAddress(hosts, index)),
        listenAddress: formatAddress(proxiedAddress),
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
      proxy: await startLinkProxy(linkAddress(hosts, index), proxiedAddress),
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
        policy: options.policy,
        ...(options.coldBounds && { coldBounds: options.coldBounds }),
      },
    });
    process.start();
    return process;
  });
}

/** Readiness probes of the routers and their choice of balancers. */
interface Probes {
  areAllReady(): boolean;
  pickBalancer(flow: string): Address | undefined;
}

function startProbes(
  clock: SoakClock,
  hosts: SoakHosts,
  balancers: readonly SoakProcess[],
): Probes {
  const missedProbes = balancers.map(() => MAX_MISSED_PROBES);
  /** Index of the balancer by flow. */
  const stickyBalancers = new Map<string, number>();
  probeAll();
  return { areAllReady: () => missedProbes.every((count) => count === 0), pickBalancer };

  function probeAll(): void {
    balancers.forEach((_, index) => void probe(index));
    clock.after(PROBE_INTERVAL_MS, probeAll);
  }

  async function probe(index: number): Promise<void> {
    const to = { host: hosts.balancers(index + 1), port: READY_PORT };
    const answer = await sendJson({ to, method: 'GET', path: '/', timeoutMs: PROBE_TIMEOUT_MS });
    const isUp = answer.match(
      ({ status }) => status === HTTP_OK,
      () => false,
    );
    missedProbes[index] = isUp ? 0 : (missedProbes[index] ?? 0) + 1;
  }

  /**
   * Hashes flows over the balancers that are up, or over all if fewer than half are. Every second flow is sticky: it
   * keeps its first balancer while that process runs, as behind a router with a flow table.
   */
  function pickBalancer(flow: string): Address | undefined {
    const hash = hashOfFlow(flow);
    const sticky = stickyBalancers.get(flow);
    const isSticky = sticky !== undefined && balancers[sticky]?.isRunning === true;
    const index = isSticky ? sticky : pickByHash(hash);
    if (index === undefined) {
      return undefined;
    }
    if (!isSticky && hash % 2 === 0) {
      rememberBalancer(flow, index);
    }
    return { host: hosts.balancers(index + 1), port: PACKET_PORT };
  }

  function pickByHash(hash: number): number | undefined {
    const all = missedProbes.map((_, index) => index);
    const up = all.filter((index) => (missedProbes[index] ?? 0) < MAX_MISSED_PROBES);
    const pool = up.length * 2 < all.length ? all : up;
    return pool[hash % pool.length];
  }

  function rememberBalancer(flow: string, index: number): void {
    stickyBalancers.set(flow, index);
    const [oldest] = stickyBalancers.keys();
    if (stickyBalancers.size > MAX_STICKY_FLOWS && oldest !== undefined) {
      stickyBalancers.delete(oldest);
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
      pickBalancer: (flow: string) => probes.pickBalancer(flow),
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
