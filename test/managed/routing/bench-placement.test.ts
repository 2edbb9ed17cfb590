/** @file The placement benchmark is deterministic, and detects refusals and broken flows. */
import { test } from 'tap';
import { median } from '../../../src/proof/bench/bench.js';
import { runPlacement } from '../../../src/proof/bench/placement-run.js';
import type { PlacementScenario } from '../../../src/proof/bench/placement-simulation.js';

const scenario: PlacementScenario = {
  policy: 'random',
  packetPath: 'token',
  seed: 3,
  balancers: 3,
  backends: 4,
  shape: { slots: 2, connectionLimit: 200, serviceMs: 10, reportLagMs: 500 },
  reportIntervalMs: 500,
  opensPerSecond: 20,
  surgeFactor: 10,
  surgeStartMs: 2_000,
  endMs: 6_000,
  flowLifeMs: 3_000,
  requestIntervalMs: 1_000,
  crossZoneMs: 0.5,
  changes: [],
  liars: [],
};

test('runs the placement benchmark', async (t) => {
  const figures = runPlacement(scenario);
  t.same(runPlacement(scenario), figures, 'the same seed gives the same figures');
  t.ok(figures.opened > 600, 'the open rate rises tenfold during the surge');
  t.equal(figures.brokenFlows, 0, 'packets are routed by token');
  t.equal(figures.refused, 0);
  t.ok(figures.peakOverMeanConnections > 1);
  const small = runPlacement({ ...scenario, shape: { ...scenario.shape, connectionLimit: 20 } });
  t.ok(small.refused > 100, 'full back ends refuse opens');
});

test('changes of back ends and balancers break flows only with flow tables', async (t) => {
  const changes = [
    { atMs: 3_000, type: 'backend-drains' },
    { atMs: 3_500, type: 'balancer-joins' },
    { atMs: 4_000, type: 'balancer-dies' },
    { atMs: 4_500, type: 'backend-joins' },
  ] as const;
  const tokens = runPlacement({ ...scenario, changes });
  t.equal(tokens.brokenFlows, 0, 'no flow breaks with tokens');
  const tables = runPlacement({ ...scenario, changes, policy: 'maglev', packetPath: 'flow-table' });
  t.ok(tables.brokenFlows > 10, 'flows break with flow tables');
});

test('computes the median', async (t) => {
  t.equal(median([5, 1, 9]), 5);
  t.equal(median([4, 1, 3, 2]), 2, 'the lower of the two middle values for an even count');
  t.throws(() => median([]));
});
