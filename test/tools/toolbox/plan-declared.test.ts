/** @file Guards the comparison of a declared configuration with the one in force. */
import t from 'tap';
import type {
  DeclaredConfig,
  DeclaredRoute,
} from '../../../src/registered/declared/declared-config.js';
import { planDeclared } from '../../../src/tools/toolbox/plan-declared.js';

const ROUTE: DeclaredRoute = {
  name: 'first',
  host: '198.18.0.1',
  port: 443,
  targets: [
    { service: 'alpha', weight: 90 },
    { service: 'beta', weight: 10 },
  ],
  kind: 'repeatable',
  timeoutMs: 800,
};
const CURRENT: DeclaredConfig = {
  version: 4,
  routes: [ROUTE, { ...ROUTE, name: 'second', port: 444 }],
  services: [{ name: 'alpha' }, { name: 'beta' }],
  idleTimeoutMs: 15_000,
};

t.test('the first configuration adds everything', async (t) => {
  const plan = planDeclared(undefined, CURRENT);
  t.ok(plan.takesEffect);
  t.same(
    plan.routes.map(({ type }) => type),
    ['added', 'added'],
  );
  t.same(plan.servicesAdded, ['alpha', 'beta']);
});

t.test('a version that is not higher than the one in force takes no effect', async (t) => {
  t.notOk(planDeclared(CURRENT, CURRENT).takesEffect);
  t.notOk(planDeclared(CURRENT, { ...CURRENT, version: 3 }).takesEffect);
  t.same(planDeclared(CURRENT, { ...CURRENT, version: 5 }).routes, [], 'the same content');
});

t.test('weights are compared by the share of flows that they move', async (t) => {
  const targets = [
    { service: 'alpha', weight: 3 },
    { service: 'beta', weight: 1 },
  ];
  const [first, second] = CURRENT.routes;
  const plan = planDeclared(CURRENT, {
    ...CURRENT,
    version: 5,
    routes: [
      { ...ROUTE, ...first, targets, timeoutMs: 900 },
      { ...ROUTE, ...second },
    ],
  });
  const [change, ...rest] = plan.routes;
  t.same(rest, []);
  t.match(change, { type: 'changed', fields: ['timeoutMs', 'targets'] });
  t.ok(change?.type === 'changed' && Math.abs(change.movedShare - 0.15) < 1e-9);
});

t.test('weights in the same proportion move nothing', async (t) => {
  const targets = ROUTE.targets.map(({ service, weight }) => ({ service, weight: weight / 30 }));
  const routes = CURRENT.routes.map((route) => ({ ...route, targets }));
  t.same(planDeclared(CURRENT, { ...CURRENT, version: 5, routes }).routes, []);
});

t.test('omitted routes and services are removed', async (t) => {
  const plan = planDeclared(CURRENT, {
    ...CURRENT,
    version: 5,
    routes: [{ ...ROUTE, targets: [{ service: 'alpha', weight: 1 }] }],
    services: [{ name: 'alpha' }],
  });
  t.same(
    plan.routes.map(({ type }) => type),
    ['changed', 'removed'],
  );
  t.same(plan.servicesRemoved, ['beta']);
});
