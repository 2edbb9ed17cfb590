/**
 * @file The thread in which hollow worlds run, with a heap of its own size. Gets `HollowBenchOptions` as
 * worker data; sends `HollowWorkerMessage`s.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { runHollowBench, type HollowBenchOptions, type HollowReport } from './hollow-bench.js';

/** What the thread says. */
export type HollowWorkerMessage =
  | { readonly type: 'progress'; readonly line: string }
  | { readonly type: 'report'; readonly report: HollowReport };

function say(message: HollowWorkerMessage): void {
  parentPort?.postMessage(message);
}

if (parentPort !== null) {
  const report = runHollowBench(workerData as HollowBenchOptions, (line) =>
    say({ type: 'progress', line }),
  );
  say({ type: 'report', report });
}
