/** @file The product's form of a declared configuration: good ones are taken whole, others name their fault. */
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
    },
  ],
};
const [ROUTE] = CONFIG.routes;

t.test('a good configuration gets its defaults', async (t) => {
  const config = parseDeclaredConfig(CONFIG)._unsafeUnwrap();
  t.equal(config.idleTimeoutMs, 15_000);
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

t.test('each fault is named', async (t) => {
  const withRoute = (change: object) => ({ routes: [{ ...ROUTE, ...change }] });
  const cases: readonly (readonly [string, object])[] = [
    ['version', { version: 0 }],
    ['surplus', { surplus: 1 }],
    ['routes.0.port', withRoute({ port: 70_000 })],
    ['routes.0.host', withRoute({ host: 'somewhere' })],
    ['routes.0.targets', withRoute({ targets: [] })],
    ['unknown service gamma', withRoute({ targets: [{ service: 'gamma' }] })],
    ['no time-out', withRoute({ timeoutMs: 0 })],
    ['no valid weights', withRoute({ targets: [{ service: 'alpha', weight: 0 }] })],
    ['Two routes stand at 198.18.0.1:443', { routes: [ROUTE, { ...ROUTE, name: 'second' }] }],
    ['declared twice', { services: [...CONFIG.services, { name: 'alpha' }] }],
  ];
  for (const [fault, change] of cases) {
    const refused = parseDeclaredConfig({ ...CONFIG, ...change });
    t.ok(refused.isErr() && refused.error.kind === 'invalid-command', fault);
    t.match(refused.isErr() ? refused.error.message : '', fault);
  }
});

t.test('no content makes the check throw', async (t) => {
  fc.assert(
    fc.property(fc.anything(), (content) => parseDeclaredConfig(content).isErr()),
    { numRuns: 2_000, seed: 1 },
  );
  t.pass();
});
