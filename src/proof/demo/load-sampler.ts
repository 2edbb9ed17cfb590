/**
 * @file Samples the connections and busy slot time of the back ends of a cluster once a second and computes the imbalance.
 */
import { z } from 'zod';
import { sendJson } from '../../managed/daemon/http-json.js';
import type { Cluster, ClusterBackend } from './cluster.js';

const HTTP_TIMEOUT_MS = 2_000;
const SAMPLE_INTERVAL_MS = 1_000;
/** Samples with fewer connections per back end are ignored. */
const MIN_MEAN_CONNECTIONS = 10;
const SLOT_WINDOW_SAMPLES = 10;
/** Windows with less busy time per back end are ignored. */
const MIN_MEAN_BUSY_MS = 100;

const observationSchema = z.object({ connections: z.number(), busySlotMs: z.number() });
type Observation = z.infer<typeof observationSchema>;

/** Ratio of the highest to the mean load of the back ends of a service, for the worst service. */
export interface Imbalance {
  /** Median over the samples; null if none had enough connections. */
  readonly peakOverMeanConnections: number | null;
  /** Median over the windows, of busy slot time; null if none had enough. */
  readonly peakOverMeanSlots: number | null;
}

interface Sample {
  readonly byBackend: ReadonlyMap<ClusterBackend, Observation>;
  /** Back ends that were not draining at the time. */
  readonly active: ReadonlySet<ClusterBackend>;
}

/** Samples the load of one cluster. */
export class LoadSampler {
  private readonly samples: Sample[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly cluster: Cluster) {}

  /** Starts sampling. */
  start(): void {
    this.timer = setInterval(() => void this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** @returns the imbalance over all samples */
  imbalance(): Imbalance {
    const services = this.cluster.options.deployment.services.map(({ name }) => name);
    const connections = services.map((name) => median(this.connectionRatios(name)));
    const slots = services.map((name) => median(this.slotRatios(name)));
    return { peakOverMeanConnections: worst(connections), peakOverMeanSlots: worst(slots) };
  }

  private async sample(): Promise<void> {
    const backends = [...this.cluster.backends];
    const active = new Set(backends.filter((backend) => !backend.draining));
    const observations = await Promise.all(backends.map(observe));
    const byBackend = new Map<ClusterBackend, Observation>();
    backends.forEach((backend, position) => {
      const observation = observations[position];
      if (observation !== undefined) {
        byBackend.set(backend, observation);
      }
    });
    this.samples.push({ byBackend, active });
  }

  private connectionRatios(service: string): number[] {
    return this.samples.flatMap((sample) => {
      const counts = activeOf(sample, service).map(([, { connections }]) => connections);
      return ratioOf(counts, MIN_MEAN_CONNECTIONS);
    });
  }

  private slotRatios(service: string): number[] {
    const ratios: number[] = [];
    for (let end = SLOT_WINDOW_SAMPLES; end < this.samples.length; end += SLOT_WINDOW_SAMPLES) {
      const first = this.samples[end - SLOT_WINDOW_SAMPLES];
      const last = this.samples[end];
      if (first !== undefined && last !== undefined) {
        ratios.push(...ratioOf(busyTimes(first, last, service), MIN_MEAN_BUSY_MS));
      }
    }
    return ratios;
  }
}

async function observe(backend: ClusterBackend): Promise<Observation | undefined> {
  const to = backend.healthAddress;
  const request = { to, method: 'GET', path: '/observe', timeoutMs: HTTP_TIMEOUT_MS } as const;
  const response = await sendJson(request);
  return response.map(({ body }) => observationSchema.safeParse(body).data).unwrapOr(undefined);
}

function activeOf(sample: Sample, service: string): [ClusterBackend, Observation][] {
  return [...sample.byBackend].filter(
    ([backend]) => backend.service.name === service && sample.active.has(backend),
  );
}

/** @returns busy slot time in the window of each back end that was active at both ends of it */
function busyTimes(first: Sample, last: Sample, service: string): number[] {
  return activeOf(last, service).flatMap(([backend, { busySlotMs }]) => {
    const earlier = first.active.has(backend) ? first.byBackend.get(backend) : undefined;
    return earlier === undefined ? [] : [busySlotMs - earlier.busySlotMs];
  });
}

function ratioOf(values: readonly number[], minMean: number): number[] {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return mean >= minMean ? [Math.max(...values) / mean] : [];
}

function median(values: readonly number[]): number | undefined {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)];
}

function worst(ratios: readonly (number | undefined)[]): number | null {
  const defined = ratios.filter((ratio) => ratio !== undefined);
  return defined.length === 0 ? null : Math.max(...defined);
}
