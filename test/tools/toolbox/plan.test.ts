/** @file Guards the predicted effect of back end changes and the dry run of statements. */
import { test } from 'tap';
import type { ChangeCommand } from '../../../src/managed/control/commands.js';
import { checkStatements } from '../../../src/tools/toolbox/check.js';
import { planChange, type ChangePlan } from '../../../src/tools/toolbox/plan.js';
import {
  parseStateExport,
  rebuildState,
  type StateExport,
} from '../../../src/tools/toolbox/state-export.js';

const options = { connectionLimit: 100, movesPerSecond: 10 };
const address = (port: number) => ({ host: '10.0.0.1', port });

/** @returns an export of one service with one back end per entry of `connections` */
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

test('an export is parsed, an incomplete one refused', async (t) => {
  t.equal(exportOf([5]).backends[0]?.load?.connections, 5);
  const wrong = parseStateExport('{"type":"audit","entries":[]}');
  t.match(wrong._unsafeUnwrapErr(), { kind: 'invalid-settings', message: /Line 1 / });
  t.match(parseStateExport('')._unsafeUnwrapErr().message, /needs the answers/);
});

test('a drain moves flows to the least loaded back ends', async (t) => {
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
    'each flow is opened elsewhere before it leaves',
  );
  t.ok(plan.fits);
  t.equal(plan.lostBackends, 1, 'a third of the three remaining back ends');
  t.equal(plan.connectionsWithoutThird, 90);
  t.ok(plan.fitsWithoutThird);
});

test('a drain that does not fit', async (t) => {
  const plan = planOf([90, 80, 80], { type: 'drain-backend', backendId: 1 });
  t.notOk(plan.fits);
  t.notOk(plan.fitsWithoutThird);
  const last = planOf([10], { type: 'drain-backend', backendId: 1 });
  t.notOk(last.fits, 'no other back end can take the flows');
});

test('an added back end takes over no existing flow', async (t) => {
  const plan = planOf([90, 90], {
    type: 'add-backend',
    service: 'authd',
    address: address(300),
    healthAddress: address(301),
    zone: 'zone-2',
  });
  t.equal(plan.flowsMoved, 0, 'only new flows go to it');
  t.equal(plan.loads.length, 3);
  t.ok(plan.fitsWithoutThird);
});

test('a change that cannot be planned is refused', async (t) => {
  const exported = exportOf([1]);
  const planned = (change: ChangeCommand) => planChange(exported, change, options);
  t.equal(planned({ type: 'drain-backend', backendId: 9 })._unsafeUnwrapErr().kind, 'not-found');
  t.equal(
    planned({ type: 'retire-service', service: 'authd' })._unsafeUnwrapErr().kind,
    'invalid-command',
  );
});

test('statements are checked as control machines would apply them', async (t) => {
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
    checkStatements(script, rebuildState(exportOf([1, 2]))).map(({ line, accepted, kind }) => [
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
