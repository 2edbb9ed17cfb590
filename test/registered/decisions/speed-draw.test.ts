/**
 * @file Compares the weighted random choice by speed with least load, in a simulation with back ends of
 * unequal speed or some that slow down.
 */
import t from 'tap';
import { defaultSwitches } from '../../../src/registered/decisions/mechanism-switches.js';
import { simulateLoad, type SimulatedOutcome } from './load-simulation.js';

const leastLoad = { ...defaultSwitches, choice: 'least-load' } as const;
const UNEQUAL = Array.from({ length: 30 }, (_, at) => [0.7, 0.7, 1.7][at % 3] ?? 1);
const EQUAL = Array.from({ length: 30 }, () => 1);
const SEEDS = [1, 2, 3];

function mean({ latenciesMs }: SimulatedOutcome): number {
  return latenciesMs.reduce((sum, ms) => sum + ms, 0) / latenciesMs.length;
}

function quantile({ latenciesMs }: SimulatedOutcome, share: number): number {
  return latenciesMs[Math.floor(latenciesMs.length * share)] ?? Infinity;
}

t.test('unequal speeds: lower latency than least load', async (t) => {
  for (const seed of SEEDS) {
    const load = { speeds: UNEQUAL, requestsPerS: 900, seed };
    const drawn = simulateLoad({ ...load, policy: defaultSwitches });
    const leastLoaded = simulateLoad({ ...load, policy: leastLoad });
    t.ok(mean(drawn) < 0.8 * mean(leastLoaded), `mean ${mean(drawn)} and ${mean(leastLoaded)} ms`);
    const [drawnP99, leastLoadedP99] = [quantile(drawn, 0.99), quantile(leastLoaded, 0.99)];
    t.ok(drawnP99 < 0.9 * leastLoadedP99, `99th percentile ${drawnP99} and ${leastLoadedP99} ms`);
    const fast = drawn.shares.filter((_, at) => at % 3 === 2);
    const fastest = Math.max(...fast);
    t.ok(fastest < 2.5 / UNEQUAL.length, `no herd effect: largest share ${fastest}`);
  }
});

t.test('equal speeds: similar shares and no higher latency', async (t) => {
  for (const seed of SEEDS) {
    const load = { speeds: EQUAL, requestsPerS: 900, seed };
    const drawn = simulateLoad({ ...load, policy: defaultSwitches });
    const leastLoaded = simulateLoad({ ...load, policy: leastLoad });
    t.ok(mean(drawn) < 1.05 * mean(leastLoaded), `mean ${mean(drawn)} and ${mean(leastLoaded)} ms`);
    t.ok(Math.max(...drawn.shares) < 1.6 / EQUAL.length, `${Math.max(...drawn.shares)}`);
  }
});

t.test(
  'back ends that slow down for eight seconds get fewer flows, and their share back afterwards',
  async (t) => {
    const isSlow = (backend: number) => backend % 5 < 2;
    const speedFactorOf = (backend: number, nowMs: number) =>
      isSlow(backend) && nowMs > 5_000 && nowMs < 13_000 ? 0.2 : 1;
    for (const seed of SEEDS) {
      const load = { speeds: EQUAL, requestsPerS: 700, seed, speedFactorOf };
      const drawn = simulateLoad({ ...load, policy: defaultSwitches });
      const leastLoaded = simulateLoad({ ...load, policy: leastLoad });
      const [drawnShare, leastLoadedShare] = [drawn, leastLoaded].map((outcome) =>
        lateShare(outcome),
      );
      t.ok(
        (drawnShare ?? 1) < 0.5 * (leastLoadedShare ?? 0),
        `share above the target: ${drawnShare} and ${leastLoadedShare}`,
      );
    }
    const oneMinute = simulateLoad({
      policy: defaultSwitches,
      speeds: EQUAL,
      requestsPerS: 700,
      seed: 4,
      seconds: 60,
      speedFactorOf,
    });
    const slowShare = oneMinute.shares.reduce((sum, one, at) => sum + (isSlow(at) ? one : 0), 0);
    t.ok(slowShare > 0.3, `their share over a minute: ${slowShare}`);
  },
);

t.test('without reports of other balancers: no higher latency than least load', async (t) => {
  const load = { speeds: UNEQUAL, requestsPerS: 900, seed: 1, sharesLoads: false };
  const drawn = simulateLoad({ ...load, policy: defaultSwitches });
  const leastLoaded = simulateLoad({ ...load, policy: leastLoad });
  t.ok(mean(drawn) < 1.05 * mean(leastLoaded), `mean ${mean(drawn)} and ${mean(leastLoaded)} ms`);
});

const LATENCY_TARGET_MS = 250;

function lateShare({ latenciesMs }: SimulatedOutcome): number {
  return latenciesMs.filter((ms) => ms > LATENCY_TARGET_MS).length / latenciesMs.length;
}
