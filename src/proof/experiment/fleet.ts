/**
 * @file A fleet run: a deployment as real processes on loopback, under a scenario's load and events.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { match } from 'ts-pattern';
import { seededRandom } from '../../shared/common/random.js';
import { Cluster } from './cluster.js';
import { revisionsOf, waitUntilInForce } from './cluster-status.js';
import type { LoadedDeployment } from './deployment.js';
import { FleetLoad } from './fleet-load.js';
import { LoadSampler, type BackendSeries } from './load-sampler.js';
import { OperatorChanges, type ChangesSummary } from './operator-changes.js';
import { FaultInjector, planFaults } from './random-faults.js';
import {
  drainBackends,
  replaceBalancers,
  replaceControlMachines,
  type FleetContext,
} from './replacements.js';
import { figuresOf, type RunFigures } from './run-figures.js';
import { RunRecorder, type RecordedEvent, type TimelinePoint } from './run-recorder.js';
import type { Scenario, ScenarioEvent } from './scenario.js';

const MILLISECONDS_PER_SECOND = 1_000;
const START_TIMEOUT_MS = 30_000;
/** Time for the first probes of the balancers. */
const SETTLE_TIME_MS = 2_000;

/** What to run. */
export interface FleetOptions extends LoadedDeployment {
  readonly scenario: Scenario;
  readonly seed: number;
  /** Called with each thing that happens. */
  readonly onProgress: (text: string) => void;
}

/** The figures of a fleet run. */
export interface FleetFigures extends RunFigures, ChangesSummary {
  readonly deployment: string;
  readonly scenario: string;
  readonly seed: number;
  readonly processes: number;
  /** Events of the scenario that did not come to their end, with why. */
  readonly failedEvents: readonly string[];
}

/** All that is kept of a fleet run. */
export interface FleetResult {
  readonly figures: FleetFigures;
  readonly timeline: readonly TimelinePoint[];
  readonly events: readonly RecordedEvent[];
  /** Time of each sample of `backends`, in seconds. */
  readonly sampleTimes: readonly number[];
  readonly backends: readonly BackendSeries[];
}

/**
 * Runs a fleet; every process that it started has ended when it returns.
 */
export async function runFleet(options: FleetOptions): Promise<FleetResult> {
  const dataFolder = await mkdtemp(join(tmpdir(), 'amberlift-fleet-'));
  const { deployment, settings, onProgress: onEvent } = options;
  const cluster = new Cluster({ deployment, settings, dataFolder, onEvent });
  try {
    await cluster.start();
    const revisions = revisionsOf(cluster.backends);
    if (!(await waitUntilInForce(cluster, revisions, START_TIMEOUT_MS))) {
      throw new Error('The configuration did not come into force in time.');
    }
    await sleep(SETTLE_TIME_MS);
    return await new FleetRun(options, cluster).run();
  } finally {
    await cluster.stop();
    await rm(dataFolder, { recursive: true });
  }
}

/** One run on a cluster that stands. */
class FleetRun {
  private readonly recorder: RunRecorder;
  private readonly sampler: LoadSampler;
  private readonly changes: OperatorChanges;
  private readonly context: FleetContext;
  private readonly failedEvents: string[] = [];

  constructor(
    private readonly options: FleetOptions,
    private readonly cluster: Cluster,
  ) {
    this.recorder = new RunRecorder(options.onProgress);
    this.sampler = new LoadSampler(cluster, () => this.recorder.elapsedSeconds);
    this.changes = new OperatorChanges(cluster);
    this.context = { cluster, recorder: this.recorder };
  }

  async run(): Promise<FleetResult> {
    const { scenario } = this.options;
    this.recorder.start();
    this.sampler.start();
    const load = new FleetLoad(this.cluster, scenario, this.recorder);
    const events = scenario.events.map((event) => this.runEvent(event));
    await load.run();
    this.sampler.stop();
    await Promise.all(events);
    return {
      figures: await this.figures(),
      timeline: this.recorder.timeline(),
      events: this.recorder.events,
      sampleTimes: this.sampler.times(),
      backends: this.sampler.series(),
    };
  }

  private async figures(): Promise<FleetFigures> {
    const { deployment, scenario, seed } = this.options;
    return {
      deployment: deployment.name,
      scenario: scenario.name,
      seed,
      ...(await figuresOf(this.cluster, this.recorder, this.sampler)),
      ...(await this.changes.summarize()),
      processes: this.cluster.startedCount,
      failedEvents: this.failedEvents,
    };
  }

  /** An event that fails does not end the run; the figures tell of it. */
  private async runEvent(event: ScenarioEvent): Promise<void> {
    await sleep(event.atSeconds * MILLISECONDS_PER_SECOND);
    this.recorder.note(`Begin ${event.type}`);
    try {
      await this.perform(event);
      this.recorder.note(`End ${event.type}`);
    } catch (cause) {
      this.failedEvents.push(`${event.type}: ${String(cause)}`);
      this.recorder.note(`Failed ${event.type}`);
    }
  }

  private perform(event: ScenarioEvent): Promise<void> {
    return match(event)
      .with({ type: 'replace-balancers' }, ({ intervalSeconds }) =>
        replaceBalancers(this.context, intervalSeconds),
      )
      .with({ type: 'replace-control-machines' }, () => replaceControlMachines(this.context))
      .with({ type: 'drain-backends' }, ({ share }) => drainBackends(this.context, share))
      .with({ type: 'random-faults' }, (faults) => {
        const random = seededRandom(this.options.seed);
        const { count, kinds } = faults;
        const planned = planFaults(random, { count, kinds, overMs: durationOf(faults) });
        return new FaultInjector(this.context).run(planned);
      })
      .with({ type: 'operator-changes' }, (changes) =>
        this.changes.send(changes.count, durationOf(changes)),
      )
      .exhaustive();
  }
}

function durationOf(event: { readonly atSeconds: number; readonly untilSeconds: number }): number {
  return (event.untilSeconds - event.atSeconds) * MILLISECONDS_PER_SECOND;
}
