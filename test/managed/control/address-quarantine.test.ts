/** @file Guards against reuse of an address by another service while a balancer may still route to the former one. */
import t from 'tap';
import { LEASE_DURATION_MS, LEASE_MARGIN_MS } from '../../../src/managed/dissemination/lease.js';
import { addCommand } from './control-world.js';
import { SingleControl } from './single-control.js';

const ADDRESS = { host: '127.0.0.1', port: 9_000 };

t.test('a removed address may join another service only after the lease has expired', async (t) => {
  const control = new SingleControl();
  control.run(2_000);
  control.setOperator();
  control.define('authd', 5_000);
  control.define('settled', 5_001);
  const added = control.send(addCommand('authd', ADDRESS));
  const backendId = added?.accepted === true ? (added.backendId ?? 0) : 0;
  control.run(2 * LEASE_DURATION_MS);
  control.send({ type: 'drain-backend', backendId });
  t.equal(control.send({ type: 'retire-backend', backendId })?.accepted, true);

  control.run(LEASE_DURATION_MS);
  t.equal(
    control.send(addCommand('settled', ADDRESS))?.accepted,
    false,
    'a lease may still be valid',
  );
  control.run(2 * LEASE_MARGIN_MS + 3_000);
  t.equal(control.send(addCommand('settled', ADDRESS))?.accepted, true);
});
