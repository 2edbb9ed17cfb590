/**
 * @file Probes the back ends' HTTP health and load endpoints.
 */
import type { Backend } from '../control/cluster-state.js';
import {
  healthReportSchema,
  loadReportSchema,
  type ProbeResult,
} from '../health/backend-report.js';
import { sendJson } from './http-json.js';

const PROBE_TIMEOUT_MS = 1_000;

/** What the prober needs of its balancer. */
export interface HealthProberOptions {
  readonly intervalMs: number;
  backends(): Iterable<Backend>;
  onResult(result: ProbeResult): void;
}

/** Probes every back end once per interval. */
export class HealthProber {
  private timer: NodeJS.Timeout | undefined;
  private readonly running = new Set<number>();

  constructor(private readonly options: HealthProberOptions) {}

  /** Begins to probe. */
  start(): void {
    this.timer = setInterval(() => this.probeAll(), this.options.intervalMs);
    this.probeAll();
  }

  /** Probes every back end that has no probe under way. */
  probeAll(): void {
    for (const backend of this.options.backends()) {
      if (!this.running.has(backend.id)) {
        void this.probe(backend);
      }
    }
  }

  /** Stops probing. */
  stop(): void {
    clearInterval(this.timer);
  }

  private async probe(backend: Backend): Promise<void> {
    this.running.add(backend.id);
    if (backend.adminState === 'draining') {
      await this.fetch(backend, 'POST', '/drain');
    }
    const [health, load] = await Promise.all([
      this.fetch(backend, 'GET', '/health'),
      this.fetch(backend, 'GET', '/load'),
    ]);
    this.running.delete(backend.id);
    this.options.onResult({
      backendId: backend.id,
      health: healthReportSchema.safeParse(health).data,
      load: loadReportSchema.safeParse(load).data,
    });
  }

  private async fetch(backend: Backend, method: 'GET' | 'POST', path: string): Promise<unknown> {
    const to = backend.healthAddress;
    const response = await sendJson({ to, method, path, timeoutMs: PROBE_TIMEOUT_MS });
    return response.match(
      ({ status, body }) => (status === 200 ? body : undefined),
      () => undefined,
    );
  }
}
