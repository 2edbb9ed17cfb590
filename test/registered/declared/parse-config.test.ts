/** @file Guards against invalid declared configurations that are accepted, or rejected without a clear message. */
import { readFileSync } from 'node:fs';
import fc from 'fast-check';
import t from 'tap';
import { parse } from 'yaml';
import { parseDeclaredConfig } from '../../../src/registered/declared/parse-config.js';

const CONFIG = {
  version: 3,
  services: [{ name: 'alpha' }, { name: 'beta' }],
  routes: [
    {
      name: 'first',
      host: '198.18.0.1',
      port: 443,
      targets: [{ service: 'alpha', weight: 9 }, { service: 'beta' }],
      kind: 'repeatable',
      timeoutMs: 800,
      priority: 1,
      latencyObjectiveMs: 120,
    },
  ],
};
const [ROUTE] = CONFIG.routes;

t.test('a valid configuration gets its defaults', async (t) => {
  const config = parseDeclaredConfig(CONFIG)._unsafeUnwrap();
  t.equal(config.idleTimeoutMs, 15_000);
  t.match(config.routes[0], { priority: 1, latencyObjectiveMs: 120 });
  t.same(config.routes[0]?.targets, [
    { service: 'alpha', weight: 9 },
    { service: 'beta', weight: 1 },
  ]);
});

t.test('the examples are valid', async (t) => {
  for (const name of ['config.yaml', 'config-2.yaml']) {
    const content = parse(readFileSync(`examples/declared/${name}`, 'utf8')) as unknown;
    t.ok(parseDeclaredConfig(content).isOk(), name);
  }
});

t.test('the error message names each fault', async (t) => {
  const configWithRoute = (change: object) => ({ routes: [{ ...ROUTE, ...change }] });
  const cases: readonly (readonly [string, object])[] = [
    ['version', { version: 0 }],
    ['surplus', { surplus: 1 }],
    ['routes.0.port', configWithRoute({ port: 70_000 })],
    ['routes.0.host', configWithRoute({ host: 'somewhere' })],
    ['routes.0.targets', configWithRoute({ targets: [] })],
    ['unknown service gamma', configWithRoute({ targets: [{ service: 'gamma' }] })],
    ['no valid timeout', configWithRoute({ timeoutMs: 0 })],
    ['routes.0.timeoutMs', configWithRoute({ timeoutMs: -1 })],
    ['routes.0.priority', configWithRoute({ priority: 1.5 })],
    ['routes.0.latencyObjectiveMs', configWithRoute({ latencyObjectiveMs: 0 })],
    ['no valid weights', configWithRoute({ targets: [{ service: 'alpha', weight: 0 }] })],
    [
      'Two routes have the address 198.18.0.1:443',
      { routes: [ROUTE, { ...ROUTE, name: 'second' }] },
    ],
    ['declared twice', { services: [...CONFIG.services, { name: 'alpha' }] }],
  ];
  for (const [fault, change] of cases) {
    const result = parseDeclaredConfig({ ...CONFIG, ...change });
    t.ok(result.isErr() && result.error.kind === 'invalid-command', fault);
    t.match(result.isErr() ? result.error.message : '', fault);
  }
});

t.test('the parser never throws, whatever the content', async (t) => {
  fc.assert(
    fc.property(fc.anything(), (content) => parseDeclaredConfig(content).isErr()),
    { numRuns: 2_000, seed: 1 },
  );
  t.pass();
});
