/** @file The settings of the platform are checked, unknown fields passed over. */
import fc from 'fast-check';
import t from 'tap';
import { internalAddress, parseSettings, seedAddresses } from '../../platform/settings.js';

const SETTINGS = {
  nodeName: 'front-1',
  ip: '10.1.0.10',
  zone: 'zone-a',
  internalPorts: [7_720, 7_735],
  seeds: ['10.1.0.12:8166', '10.2.0.43:8166'],
  bootstrap: true,
  dataDir: null,
  heartbeatMs: 1_200,
  listen: { datagramAddr: '10.1.0.10:8172', ready: '10.1.0.10:8167', control: null },
  tolerate: { machines: 2, zones: 0 },
  bounds: { contactMs: 4_000, syncS: 4, drainMs: 3_000, graceS: 6, flowLifetimeS: 60, more: 1 },
  somethingNew: { a: 1 },
};

t.test('good settings', async (t) => {
  const settings = parseSettings(SETTINGS)._unsafeUnwrap();
  t.same(internalAddress(settings), { host: '10.1.0.10', port: 7_720 });
  t.same(seedAddresses(settings), [
    { host: '10.1.0.12', port: 7_720 },
    { host: '10.2.0.43', port: 7_720 },
  ]);
});

t.test('bad settings name the field', async (t) => {
  const cases: readonly (readonly [string, object])[] = [
    ['seeds', { seeds: ['somewhere'] }],
    ['heartbeatMs', { heartbeatMs: 0 }],
    ['bounds', { bounds: {} }],
    ['tolerate.machines', { tolerate: { machines: -1 } }],
  ];
  for (const [field, change] of cases) {
    const refused = parseSettings({ ...SETTINGS, ...change });
    t.ok(refused.isErr() && refused.error.message.includes(field), field);
  }
});

t.test('no content makes the check throw', async (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), (content) => parseSettings(content).isErr()),
    { seed: 1 },
  );
  t.pass();
});
