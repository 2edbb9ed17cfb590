/**
 * @file `amberlift bench probe`: the processor time of one health probe, at the balancer's side and at
 * the back end's, over loopback.
 */
import type { Address } from '../../shared/common/address.js';
import type { Backend } from '../../managed/control/routing-config.js';
import { probeBackend } from '../../managed/daemon/health-probe.js';
import { median, refuseUnknownSettings, type Bench } from './bench.js';
import { startProcess } from './child-process.js';
import { usageOf } from './in-force-cluster.js';

const DEFAULT_ROUNDS = 5;
const PROBES_PER_ROUND = 1_000;
/** How many probes are under way at a time. */
const CONCURRENCY = 8;
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Processor time of one probe, which asks for health and for load; medians of the rounds. */
interface ProbeFigures {
  readonly rounds: number;
  readonly probesPerRound: number;
  readonly balancerMsPerProbe: number;
  readonly backendMsPerProbe: number;
}

/** The bench. */
export const probeBench: Bench = {
  name: 'probe',
  summary: 'processor time of one health probe',
  run: async (options) => {
    refuseUnknownSettings(options, []);
    const figures = await measure(options.rounds ?? DEFAULT_ROUNDS);
    return {
      figures,
      table: {
        head: ['figure', 'ms'],
        rows: [
          ['balancer, per probe', figures.balancerMsPerProbe.toFixed(3)],
          ['back end, per probe', figures.backendMsPerProbe.toFixed(3)],
        ],
      },
      missed: [],
    };
  },
};

async function measure(rounds: number): Promise<ProbeFigures> {
  const address = ['--service', 'probed', '--service-address', '127.0.0.1:443'];
  const process = await startProcess('backend', ['backend', ...address, '--fabric', '127.0.0.1:9']);
  try {
    const backend = probedBackend(
      process.ready.address as Address,
      process.ready.healthAddress as Address,
    );
    await probeRound(backend, process.pid);
    const results: Awaited<ReturnType<typeof probeRound>>[] = [];
    for (let round = 0; round < rounds; round += 1) {
      results.push(await probeRound(backend, process.pid));
    }
    return {
      rounds,
      probesPerRound: PROBES_PER_ROUND,
      balancerMsPerProbe: median(results.map(({ balancerMs }) => balancerMs)),
      backendMsPerProbe: median(results.map(({ backendMs }) => backendMs)),
    };
  } finally {
    process.signal('SIGKILL');
    await process.exited;
  }
}

function probedBackend(address: Address, healthAddress: Address): Backend {
  return {
    id: 1,
    serviceId: 1,
    address,
    healthAddress,
    zone: 'zone-a',
    adminState: 'active',
  };
}

/** This process stands for the balancer: the probe is the daemon's own function. */
async function probeRound(backend: Backend, backendPid: number) {
  const before = await usageOf(backendPid);
  const startCpu = process.cpuUsage();
  const lane = async () => {
    for (let probe = 0; probe < PROBES_PER_ROUND / CONCURRENCY; probe += 1) {
      const { health } = await probeBackend({
        type: 'probe',
        backend: backend,
        isAuthoritative: true,
      });
      if (health === undefined) {
        throw new Error('The back end did not answer a probe.');
      }
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, lane));
  const { user, system } = process.cpuUsage(startCpu);
  const after = await usageOf(backendPid);
  const backendMs = (after.processorSeconds - before.processorSeconds) * MS_PER_SECOND;
  return {
    balancerMs: (user + system) / MICROSECONDS_PER_MS / PROBES_PER_ROUND,
    backendMs: backendMs / PROBES_PER_ROUND,
  };
}
