/** @file Guards against non-deterministic traces and against planned changes that violate a check. */
import t from 'tap';
import { runScenario } from '../../../src/proof/sim-managed/run-scenario.js';
import { findScenario, scenarios } from '../../../src/proof/sim-managed/scenarios/index.js';
import type { Scenario } from '../../../src/proof/sim-managed/scenarios/scenario.js';
import { World } from '../../../src/proof/sim-managed/world.js';
import { smallWorld } from '../../../src/proof/sim-managed/world-plan.js';

function scenarioNamed(name: string): Scenario {
  const scenario = findScenario(name);
  if (scenario === undefined) {
    throw new Error(`unknown scenario ${name}`);
  }
  return scenario;
}

t.test('the same seed gives the same trace, including packets', async (t) => {
  const chaos = { ...scenarioNamed('chaos'), durationMs: 8_000 };
  const first = await runScenario(chaos, 5, { keepsPackets: true });
  const second = await runScenario(chaos, 5, { keepsPackets: true });
  const other = await runScenario(chaos, 6, { keepsPackets: true });
  t.ok(first.events > 500);
  t.equal(second.digest, first.digest);
  t.not(other.digest, first.digest);
});

t.test('three control machines without data form a cluster with every seed', async (t) => {
  const services = smallWorld.services.map((service) => ({
    ...service,
    backends: 0,
    callers: 0,
    feeds: 0,
  }));
  const plan = { ...smallWorld, services, balancers: 0 };
  for (let seed = 1; seed <= 12; seed += 1) {
    const world = new World({ seed, plan, listener: { handle: () => undefined } });
    await t.resolves(world.setUp(), `seed ${seed}`);
  }
});

for (const name of ['quiet', 'drain', 'rolling-restart']) {
  t.test(`planned changes violate no check: ${name}`, async (t) => {
    const report = await runScenario(scenarioNamed(name), 1);
    t.strictSame(report.violations, []);
    t.ok(report.outcomes > 100);
  });
}

t.test('every scenario has a unique name and a description', async (t) => {
  t.equal(new Set(scenarios.map(({ name }) => name)).size, scenarios.length);
  t.ok(scenarios.every(({ description }) => description.length > 0));
});
