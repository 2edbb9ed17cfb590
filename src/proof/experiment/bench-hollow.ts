/**
 * @file `amberlift bench hollow`: control and balancers at sizes that real processes would not fit.
 */
import { Worker } from 'node:worker_threads';
import { refuseUnknownSettings, type Bench, type BenchOptions, type BenchResult } from './bench.js';
import type { HollowBenchOptions, HollowReport, SizeFigures } from './hollow/hollow-bench.js';
import type { HollowWorkerMessage } from './hollow/hollow-worker.js';
import { onOneDay } from './hollow/slopes.js';

const WORKER = new URL('./hollow/hollow-worker.js', import.meta.url);
/** Less than half of a machine with 32 GB. */
const MAX_HEAP_MB = 12_000;
/** The letter's budget of a node for control. */
const BUDGET = { corePercent: 3.1, bytesPerSecond: 10_000, heapMb: 64, inForceMs: 8_000 } as const;
const BYTES_PER_MB = 1_000_000;
const FULL_SIZES = [50, 150, 500, 1_500];
const QUICK_SIZES = [25, 50];
const SETTINGS = ['quick', 'sizes', 'idle-ms', 'load-ms', 'compression', 'scenario-balancers'];

/** The bench. */
export const hollowBench: Bench = {
  name: 'hollow',
  summary: 'control traffic, processor time and memory per node at up to 1,500 hollow balancers',
  run: async (options) => {
    refuseUnknownSettings(options, SETTINGS);
    const report = await runInThread(benchOptions(options), (line) => options.progress(line));
    return summarize(report);
  },
};

function benchOptions({ settings, seed }: BenchOptions): HollowBenchOptions {
  const isQuick = settings.get('quick') === 'true';
  const number = (name: string, standard: number) => {
    const value = Number(settings.get(name) ?? standard);
    if (!(value > 0)) {
      throw new RangeError(`${name} is a positive number.`);
    }
    return value;
  };
  const sizes =
    settings.get('sizes')?.split(',').map(Number) ?? (isQuick ? QUICK_SIZES : FULL_SIZES);
  if (!sizes.every((size) => Number.isInteger(size) && size > 0)) {
    throw new RangeError('sizes is a list such as 50,150.');
  }
  return {
    seed,
    sizes,
    idleMs: number('idle-ms', isQuick ? 3_000 : 10_000),
    loadMs: number('load-ms', isQuick ? 5_000 : 20_000),
    compression: number('compression', 37.5),
    scenarioBalancers: number('scenario-balancers', isQuick ? 20 : 100),
  };
}

function runInThread(
  workerData: HollowBenchOptions,
  progress: (line: string) => void,
): Promise<HollowReport> {
  const resourceLimits = { maxOldGenerationSizeMb: MAX_HEAP_MB };
  const worker = new Worker(WORKER, { workerData, resourceLimits });
  return new Promise((resolve, reject) => {
    worker.on('message', (message: HollowWorkerMessage) => {
      if (message.type === 'progress') {
        progress(message.line);
      } else {
        resolve(message.report);
      }
    });
    worker.on('error', reject);
    worker.on('exit', (code) => reject(new Error(`The hollow worlds ended with code ${code}.`)));
  });
}

function summarize(report: HollowReport): BenchResult {
  const sizeNames = report.sizes.map(({ balancers }) => `at ${balancers}`);
  return {
    figures: report,
    table: {
      head: ['figure', 'unit', ...sizeNames, 'per balancer'],
      rows: report.slopes.map(({ figure, unit, values, perBalancer }) => [
        figure,
        unit,
        ...values.map(short),
        short(perBalancer),
      ]),
    },
    missed: [...report.sizes.flatMap(missedBudget), ...missedScenarios(report)],
  };
}

function missedBudget(size: SizeFigures): string[] {
  const core = onOneDay(size, ({ roles }) => roles.balancer.corePercent);
  const bytes = onOneDay(
    size,
    ({ roles: { balancer } }) =>
      balancer.sent.bytesPerSecondWithHeaders + balancer.received.bytesPerSecondWithHeaders,
  );
  const checks: readonly (readonly [string, number, number])[] = [
    ['processor time of a balancer, % of a core', core, BUDGET.corePercent],
    ['control bytes a second of a balancer', bytes, BUDGET.bytesPerSecond],
    ['heap of a balancer, MB', size.memory.balancerBytes / BYTES_PER_MB, BUDGET.heapMb],
    ['accepted to in force everywhere, p99 ms', size.inForceEverywhere.p99Ms, BUDGET.inForceMs],
    ['worlds that did not converge', size.converged ? 0 : 1, 0],
  ];
  return checks
    .filter(([, value, limit]) => value > limit)
    .map(([what, value, limit]) => `at ${size.balancers}: ${what}: ${short(value)} > ${limit}.`);
}

function missedScenarios({ scenarios }: HollowReport): string[] {
  return scenarios.flatMap(({ name, convergedAfterMs, laggingAtEnd }) => [
    ...(convergedAfterMs === undefined ? [`${name}: did not converge.`] : []),
    ...(laggingAtEnd > 0 ? [`${name}: ${laggingAtEnd} reachable balancers lagged.`] : []),
  ]);
}

function short(value: number): string {
  return value.toPrecision(3).includes('e') ? value.toFixed(0) : value.toPrecision(3);
}
