/** @file Query answers: operators see only their own entities, and committed is distinguished from in force. */
import t from 'tap';
import type { OperatorQuery } from '../../../src/managed/control/queries.js';
import { answerQuery } from '../../../src/managed/control/views/answer-query.js';
import { unknownLoad, type LoadView } from '../../../src/managed/control/views/backend-load.js';
import type { InForceView } from '../../../src/managed/control/views/in-force.js';
import { ControlWorld } from './control-world.js';

const noBalancers: InForceView = { balancers: [], isComplete: true };

function balancersAt(...indexes: number[]): InForceView {
  const balancers = indexes.map((index, position) => ({
    balancerId: `b${position + 1}`,
    zone: 'z1',
    index,
  }));
  return { balancers, isComplete: true };
}

function ask(
  world: ControlWorld,
  operator: string,
  query: OperatorQuery,
  inForce: InForceView = noBalancers,
  load: LoadView = unknownLoad,
) {
  const owner = world.state.owners.get(operator);
  if (owner === undefined) {
    throw new Error(`There is no operator ${operator}.`);
  }
  return answerQuery({ state: world.state, owner, inForce, load }, query);
}

t.test('an operator sees their own services and back ends only', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  world.define('hara', 'board-api', '127.2.0.1');
  world.add('tarjeta', 'authd', '127.1.0.9');
  world.add('hara', 'board-api', '127.2.0.9');
  t.match(ask(world, 'tarjeta', { type: 'services' })._unsafeUnwrap(), {
    services: [{ name: 'authd', version: 2, backendCount: 1 }],
  });
  const shown = ask(world, 'hara', { type: 'backends' })._unsafeUnwrap();
  t.match(shown, { backends: [{ service: 'board-api', address: { host: '127.2.0.9' } }] });
  t.equal('backends' in shown && shown.backends.length, 1);
});

t.test(
  'entities of another operator give the same answers as entities that do not exist',
  async (t) => {
    const populated = new ControlWorld();
    populated.define('tarjeta', 'authd', '127.1.0.1');
    const backendId = populated.add('tarjeta', 'authd', '127.1.0.9');
    const empty = new ControlWorld();
    const queries: OperatorQuery[] = [
      { type: 'service', service: 'authd' },
      { type: 'backends', service: 'authd' },
      { type: 'explain-backend', backendId },
      { type: 'explain-command', commandId: 'id-2' },
    ];
    for (const query of queries) {
      const answers = [populated, empty].map((world) => ask(world, 'hara', query));
      t.match(answers[0], { error: { kind: 'not-found' } });
      t.equal(JSON.stringify(answers[0]), JSON.stringify(answers[1]), query.type);
    }
  },
);

t.test(
  'the committed revision is distinguished from the one in force, and lagging balancers are listed',
  async (t) => {
    const world = new ControlWorld();
    world.define('tarjeta', 'authd', '127.1.0.1');
    const definedIndex = world.state.index;
    world.add('tarjeta', 'authd', '127.1.0.9');
    const inForce = balancersAt(world.state.index, definedIndex);
    t.match(ask(world, 'tarjeta', { type: 'in-force' }, inForce)._unsafeUnwrap(), {
      committedRevision: 2,
      revisionInForceEverywhere: 1,
      balancerCount: 2,
      lagging: [{ balancerId: 'b2', revision: 1 }],
    });
    t.match(ask(world, 'tarjeta', { type: 'service', service: 'authd' }, inForce)._unsafeUnwrap(), {
      service: { version: 2, versionInForceEverywhere: 1 },
    });
    t.match(ask(world, 'tarjeta', { type: 'changes' }, inForce)._unsafeUnwrap(), {
      rollingOut: [
        { revision: 2, statement: /^add backend to authd/, lagging: [{ balancerId: 'b2' }] },
      ],
    });
    const none = balancersAt(0);
    t.match(ask(world, 'tarjeta', { type: 'services' }, none)._unsafeUnwrap(), {
      services: [{ version: 2, versionInForceEverywhere: 0 }],
    });
  },
);

t.test("a balancer that lacks only another operator's changes is not lagging", async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  const inForce = balancersAt(world.state.index);
  world.define('hara', 'board-api', '127.2.0.1');
  const shown = ask(world, 'tarjeta', { type: 'in-force' }, inForce)._unsafeUnwrap();
  t.match(shown, { committedRevision: 1, revisionInForceEverywhere: 1, lagging: [] });
});

t.test('the load of a back end is shown if it was reported, and absent otherwise', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  const reportedBackendId = world.add('tarjeta', 'authd', '127.1.0.8');
  world.add('tarjeta', 'authd', '127.1.0.9');
  const load = {
    backends: new Map([[reportedBackendId, { connections: 7, reportingBalancers: 2 }]]),
    totalConnections: 9,
  };
  const shown = ask(world, 'tarjeta', { type: 'backends' }, noBalancers, load)._unsafeUnwrap();
  t.match(shown, { backends: [{ load: { connections: 7 } }, { load: undefined }] });
  const capacity = ask(world, 'tarjeta', { type: 'capacity' }, balancersAt(1, 1), load);
  t.strictSame(capacity._unsafeUnwrap(), {
    type: 'capacity',
    balancerCount: 2,
    totalConnections: 9,
  });
});

t.test('planned changes are listed until they run, then shown with their outcome', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  const backendId = world.add('tarjeta', 'authd', '127.1.0.9');
  const change = { type: 'drain-backend' as const, backendId };
  const { planId = 0 } = world.accepted('tarjeta', {
    type: 'plan-change',
    when: { inMs: 60_000 },
    change,
  });
  const commandId = world.state.owners.get('tarjeta')?.plans.get(planId)?.commandId ?? '';
  const atMs = world.nowMs + 60_000;
  const planned = [{ id: planId, atMs, statement: `drain backend ${backendId}` }];
  t.match(ask(world, 'tarjeta', { type: 'changes' })._unsafeUnwrap(), { planned });
  t.match(ask(world, 'tarjeta', { type: 'explain-backend', backendId })._unsafeUnwrap(), {
    planned,
    backend: { adminState: 'active' },
  });
  world.nowMs = atMs;
  world.system({ type: 'run-planned-change', operator: 'tarjeta', planId });
  t.match(ask(world, 'tarjeta', { type: 'changes' })._unsafeUnwrap(), { planned: [] });
  t.match(ask(world, 'tarjeta', { type: 'explain-command', commandId })._unsafeUnwrap(), {
    outcome: { accepted: true, planId },
    run: { atMs, outcome: { accepted: true, backendId } },
  });
});
