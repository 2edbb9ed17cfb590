/**
 * @file Performs many runs of scenarios in worker threads. Only scenario and seed determine the
 * events of a run.
 */
import { Worker } from 'node:worker_threads';
import { checkNames, type CheckName, type Violation } from './oracle/check.js';
import { runScenario, type RunReport } from './run-scenario.js';
import type { Scenario } from './scenarios/scenario.js';

/** Scenario and seed of a run. */
export interface RunRequest {
  readonly scenario: string;
  readonly seed: number;
}

/** Result of a run without its trace. */
export interface RunSummary extends RunRequest {
  readonly violations: readonly Violation[];
  readonly faults: number;
  readonly outcomes: number;
  readonly virtualMs: number;
  readonly digest: string;
}

/** Aggregated result of all runs. */
export interface SimulationReport {
  readonly runs: number;
  readonly runsByScenario: Readonly<Record<string, number>>;
  /** Number of faults and planned changes in all runs. */
  readonly faults: number;
  /** Number of finished requests, delivered notices and answered commands in all runs. */
  readonly outcomes: number;
  readonly virtualSeconds: number;
  readonly wallSeconds: number;
  readonly violations: number;
  readonly violationsByCheck: Readonly<Record<CheckName, number>>;
  /** Runs with a violation. */
  readonly failedRuns: readonly RunSummary[];
}

/** Called after each run with the number of finished and of all runs. */
export type SimulationProgress = (done: number, total: number) => void;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * @returns run requests that cycle through the scenarios with consecutive seeds
 */
export function planRuns(
  scenarios: readonly Scenario[],
  runs: number,
  firstSeed: number,
): RunRequest[] {
  return Array.from({ length: runs }, (_, position) => ({
    scenario: scenarios[position % scenarios.length]?.name ?? '',
    seed: firstSeed + position,
  }));
}

/**
 * Runs a scenario in the current thread.
 */
export async function summarizeRun(scenario: Scenario, seed: number): Promise<RunSummary> {
  return summaryOf(await runScenario(scenario, seed));
}

/**
 * Performs runs in worker threads.
 * @param jobs maximum number of threads
 */
export async function simulate(
  requests: readonly RunRequest[],
  jobs: number,
  progress: SimulationProgress,
): Promise<SimulationReport> {
  const startedAtMs = performance.now();
  const pending = [...requests];
  const summaries: RunSummary[] = [];
  const workers = Array.from({ length: Math.min(jobs, requests.length) }, () =>
    runWorker(pending, (summary) => {
      summaries.push(summary);
      progress(summaries.length, requests.length);
    }),
  );
  await Promise.all(workers);
  const wallSeconds = (performance.now() - startedAtMs) / MILLISECONDS_PER_SECOND;
  return reportOf(summaries, wallSeconds);
}

function summaryOf(report: RunReport): RunSummary {
  const { scenario, seed, violations, faults, outcomes, virtualMs, digest } = report;
  return { scenario, seed, violations, faults, outcomes, virtualMs, digest };
}

/** Starts a worker thread that takes runs from the shared queue until it is empty. */
function runWorker(waiting: RunRequest[], done: (summary: RunSummary) => void): Promise<void> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./simulate-worker.js', import.meta.url));
    const next = (): void => {
      const request = waiting.shift();
      if (request === undefined) {
        void worker.terminate().then(() => resolve());
      } else {
        worker.postMessage(request);
      }
    };
    worker.on('message', (summary: RunSummary) => {
      done(summary);
      next();
    });
    worker.on('error', reject);
    next();
  });
}

function reportOf(summaries: readonly RunSummary[], wallSeconds: number): SimulationReport {
  const sum = (valueOf: (summary: RunSummary) => number): number =>
    summaries.reduce((total, summary) => total + valueOf(summary), 0);
  const violations = summaries.flatMap((summary) => summary.violations);
  const byCheck = checkNames.map((check) => [
    check,
    violations.filter((violation) => violation.check === check).length,
  ]);
  const runsByScenario: Record<string, number> = {};
  for (const { scenario } of summaries) {
    runsByScenario[scenario] = (runsByScenario[scenario] ?? 0) + 1;
  }
  const failedRuns = summaries.filter((summary) => summary.violations.length > 0);
  return {
    runs: summaries.length,
    runsByScenario,
    faults: sum(({ faults }) => faults),
    outcomes: sum(({ outcomes }) => outcomes),
    virtualSeconds: Math.round(sum(({ virtualMs }) => virtualMs) / MILLISECONDS_PER_SECOND),
    wallSeconds: Math.round(wallSeconds * 10) / 10,
    violations: violations.length,
    violationsByCheck: Object.fromEntries(byCheck) as Record<CheckName, number>,
    failedRuns: failedRuns.sort((one, other) => one.seed - other.seed),
  };
}
