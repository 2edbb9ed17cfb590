/** @file The files of deployments and scenarios, and what is planned from them. */
import { readdirSync } from 'node:fs';
import t from 'tap';
import { seededRandom } from '../../../src/shared/common/random.js';
import { loadDeployment } from '../../../src/proof/experiment/deployment.js';
import { planFaults } from '../../../src/proof/experiment/random-faults.js';
import {
  loadScenario,
  scenarioSchema,
  stretchScenario,
} from '../../../src/proof/experiment/scenario.js';

const SCENARIOS = 'examples/scenarios';

t.test('every example deployment is valid, at the size of today', async (t) => {
  for (const [folder, backends] of [
    ['tarjeta-viva', [10, 3]],
    ['hara-boards', [10, 3]],
    ['shared', [10, 3, 10, 3]],
  ] as const) {
    const { deployment } = loadDeployment(`examples/${folder}`)._unsafeUnwrap();
    t.equal(deployment.zones.length, 3);
    t.ok(deployment.balancers >= 6 && deployment.controlMachines >= 3);
    t.strictSame(
      deployment.services.map((service) => service.backends),
      backends,
    );
    t.ok(
      deployment.services.every(({ slots, connections }) => slots === 2 && connections === 2000),
    );
  }
});

t.test('every example scenario is valid, and ends its events before its load', async (t) => {
  const files = readdirSync(SCENARIOS);
  t.ok(files.length > 0);
  for (const file of files) {
    const scenario = loadScenario(`${SCENARIOS}/${file}`)._unsafeUnwrap();
    t.ok(
      scenario.load.every(({ atSeconds }) => atSeconds < scenario.seconds),
      file,
    );
    for (const event of scenario.events) {
      const last = 'untilSeconds' in event ? event.untilSeconds : event.atSeconds;
      t.ok(last >= event.atSeconds && last < scenario.seconds, `${file}: ${event.type}`);
    }
  }
});

t.test('an unknown option in a scenario is refused, with its path', async (t) => {
  const parsed = scenarioSchema.safeParse({
    name: 'bad',
    seconds: 1,
    load: [{ atSeconds: 0, connectionShare: 2, spreadSeconds: 1 }],
  });
  t.strictSame(parsed.error?.issues[0]?.path, ['load', 0, 'connectionShare']);
  t.equal(loadScenario('examples/none.yaml')._unsafeUnwrapErr().kind, 'invalid-settings');
});

t.test('a scenario is stretched in its times, not in its pauses and counts', async (t) => {
  const scenario = scenarioSchema.parse({
    name: 'short',
    seconds: 10,
    load: [{ atSeconds: 5, connectionShare: 0.5, spreadSeconds: 1, pauseSeconds: 2 }],
    events: [{ type: 'operator-changes', atSeconds: 2, untilSeconds: 8, count: 20 }],
  });
  const long = stretchScenario(scenario, 30);
  t.match(long, {
    seconds: 30,
    load: [{ atSeconds: 15, spreadSeconds: 1, pauseSeconds: 2 }],
    events: [{ atSeconds: 6, untilSeconds: 24, count: 20 }],
  });
});

t.test('the same seed plans the same faults, in the order of their times', async (t) => {
  const options = { count: 50, overMs: 10_000, kinds: ['kill', 'pause', 'cut'] as const };
  const faults = planFaults(seededRandom(7), options);
  t.strictSame(planFaults(seededRandom(7), options), faults);
  t.notSame(planFaults(seededRandom(8), options), faults);
  t.same(
    faults.map(({ afterMs }) => afterMs),
    faults.map(({ afterMs }) => afterMs).sort((left, right) => left - right),
  );
  t.equal(new Set(faults.map(({ kind }) => kind)).size, 3);
  t.equal(new Set(faults.map(({ target }) => target)).size, 2);
});
