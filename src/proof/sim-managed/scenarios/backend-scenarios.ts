/**
 * @file Scenario with faulty back ends: cold, refusing, with false load or health reports, or ignoring their drain.
 */
import type { BackendFaults } from '../../standins/backend-options.js';
import { smallWorld } from '../world-plan.js';
import { publishRegularly, type Scenario } from './scenario.js';

const DURATION_MS = 14_000;

/** Faults by position over all services: three of authd, three of board-api, two of settled. */
const BACKEND_FAULTS: ReadonlyMap<number, BackendFaults> = new Map<number, BackendFaults>([
  [0, { reportsIdle: true, coldStartMs: 5_000, coldStartFactor: 20 }],
  [1, { ignoresDrain: true }],
  [3, { flapPeriodMs: 700 }],
  [4, { ignoresOpens: true }],
  [6, { refusesAll: true, freezesLoadAfterMs: 1_000 }],
  [7, { drainDelayMs: 2_000 }],
]);

/** Most back ends are faulty, and one that ignores its drain is drained. */
export const badBackends: Scenario = {
  name: 'bad-backends',
  description:
    'Back ends that are cold, report false load or health, refuse, or ignore their drain.',
  plan: { ...smallWorld, backendFaults: BACKEND_FAULTS },
  durationMs: DURATION_MS,
  schedule: (scope) => {
    const { world, faults } = scope;
    publishRegularly(scope, DURATION_MS, 400);
    const drainIgnoring = world.backends.filter(
      ({ process }) => process.options.faults?.ignoresDrain,
    );
    faults.recordIgnoredDrains(drainIgnoring);
    drainIgnoring.forEach((placed, position) => {
      world.after(1_000 + position * 500, () => faults.drainAndRetire(placed));
    });
    // Restarted callers open new flows, which must be placed on back ends.
    for (let atMs = 3_000; atMs < DURATION_MS; atMs += 500) {
      world.after(atMs, () => {
        const caller = world.callers[Math.floor(atMs / 500) % world.callers.length];
        if (caller !== undefined) {
          faults.crash(caller, 100);
        }
      });
    }
  },
};
