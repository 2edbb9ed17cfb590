import { test } from 'tap';
import type { ChangeCommand } from '../../../src/managed/control/commands.js';
import { checkStatements } from '../../../src/tools/toolbox/check.js';
import { planChange, type ChangePlan } from '../../../src/tools/toolbox/plan.js';
import {
  parseStateExport,
  stateOf,
  type StateExport,
} from '../../../src/tools/toolbox/state-export.js';

const options = { connectionLimit: 100, movesPerSecond: 10 };
const address = (port: number) => ({ host: '10.0.0.1', port });

/** One service with a back end for each number of connections. */
function exportOf(connections: readonly number[]): StateExport {
  const services = {
    type: 'services',
    services: [
      { id: 1, name: 'authd', address: address(1), policy: 'adaptive', limits: {}, version: 4 },
    ],
  };
  const backends = {
    type: 'backends',
    backends: connections.map((count, index) => ({
      id: index + 1,
      service: 'authd',
      address: address(100 + index),
      healthAddress: address(200 + index),
      zone: `zone-${index % 3}`,
      adminState: 'active',
      load: { connections: count, reportingBalancers: 3 },
    })),
  };
  return parseStateExport(`${JSON.stringify(services)}\n${JSON.stringify(backends)}\n`).match(
    (exported) => exported,
    (error) => {
      throw new Error(error.message);
    },
  );
}

function planOf(connections: readonly number[], change: ChangeCommand): ChangePlan {
  return planChange(exportOf(connections), change, options).match(
    (plan) => plan,
    (error) => {
      throw new Error(error.message);
    },
  );
}

test('an export of the state', async (t) => {
  t.equal(exportOf([5]).backends[0]?.load?.connections, 5);
  const wrong = parseStateExport('{"type":"audit","entries":[]}');
  t.match(wrong._unsafeUnwrapErr(), { kind: 'invalid-settings', message: /Line 1 / });
  t.match(parseStateExport('')._unsafeUnwrapErr().message, /needs the answers/);
});

test('the plan of a drain', async (t) => {
  const plan = planOf([50, 40, 60, 30], { type: 'drain-backend', backendId: 1 });
  t.equal(plan.flowsMoved, 50);
  t.equal(plan.timeToDrainMs, 5_000);
  t.same(
    plan.loads.map(({ backendId, before, during, after }) => [backendId, before, during, after]),
    [
      [2, 40, 60, 60],
      [3, 60, 60, 60],
      [4, 30, 60, 60],
      [1, 50, 50, 0],
    ],
    'the least loaded take the flows, each opened there before it leaves',
  );
  t.ok(plan.fits);
  t.equal(plan.lostBackends, 1, 'a third of the three that are left');
  t.equal(plan.connectionsWithoutThird, 90);
  t.ok(plan.fitsWithoutThird);
});

test('a drain that does not fit', async (t) => {
  const plan = planOf([90, 80, 80], { type: 'drain-backend', backendId: 1 });
  t.notOk(plan.fits);
  t.notOk(plan.fitsWithoutThird);
  const last = planOf([10], { type: 'drain-backend', backendId: 1 });
  t.notOk(last.fits, 'the last back end has nowhere to move its flows');
});

test('the plan of an addition', async (t) => {
  const plan = planOf([90, 90], {
    type: 'add-backend',
    service: 'authd',
    address: address(300),
    healthAddress: address(301),
    zone: 'zone-2',
  });
  t.equal(plan.flowsMoved, 0, 'flows stay; new ones fill it');
  t.equal(plan.loads.length, 3);
  t.ok(plan.fitsWithoutThird);
});

test('changes that have no plan', async (t) => {
  const exported = exportOf([1]);
  const planned = (change: ChangeCommand) => planChange(exported, change, options);
  t.equal(planned({ type: 'drain-backend', backendId: 9 })._unsafeUnwrapErr().kind, 'not-found');
  t.equal(
    planned({ type: 'retire-service', service: 'authd' })._unsafeUnwrapErr().kind,
    'invalid-command',
  );
});

test('statements are checked as the control machines would', async (t) => {
  const script = [
    '# a comment',
    'show services',
    'retire backend 1',
    'drain backend 1',
    'retire backend 1',
    'drain backend 7',
    'drain the swamp',
  ].join('\n');
  t.same(
    checkStatements(script, stateOf(exportOf([1, 2]))).map(({ line, accepted, kind }) => [
      line,
      accepted,
      kind,
    ]),
    [
      [2, true, undefined],
      [3, false, 'conflict'],
      [4, true, undefined],
      [5, true, undefined],
      [6, false, 'not-found'],
      [7, false, 'invalid-command'],
    ],
    'later statements see what earlier ones changed',
  );
});
