/** @file The example settings files are valid, and a missing file is rejected. */
import t from 'tap';
import { loadSettings } from '../../../src/managed/settings/load-settings.js';

t.test('the example settings are valid', async (t) => {
  const control = loadSettings({ file: 'examples/tarjeta-viva/control.yaml', overrides: [] });
  const owners = control._unsafeUnwrap().control.operators.map(({ name }) => name);
  t.same(owners, ['tarjeta']);
  const balancer = loadSettings({ file: 'examples/tarjeta-viva/balancer.yaml', overrides: [] });
  t.equal(balancer._unsafeUnwrap().clusterKey, control._unsafeUnwrap().clusterKey);
});

t.test('a missing settings file is rejected', async (t) => {
  const missing = loadSettings({ file: 'examples/none.yaml', overrides: [] });
  t.equal(missing._unsafeUnwrapErr().kind, 'invalid-settings');
});
