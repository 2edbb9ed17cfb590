/** @file Guards against double execution, lost updates and missing permission checks when commands are applied. */
import t from 'tap';
import type { Command } from '../../../src/managed/control/commands.js';
import { addCommand, ControlWorld } from './control-world.js';

const defineAuthd: Command = {
  type: 'define-service',
  service: 'authd',
  address: { host: '127.1.0.1', port: 7001 },
  policy: 'adaptive',
  limits: {},
};

t.test('a repeated command is applied once and gets the same outcome', async (t) => {
  const world = new ControlWorld();
  const first = world.send('tarjeta', 'c1', defineAuthd);
  const second = world.send('tarjeta', 'c1', defineAuthd);
  t.strictSame(second.outcome, first.outcome);
  t.strictSame(second.changes, []);
  t.equal(world.state.routing.services.size, 1);
});

t.test('a repeated command keeps its refusal even if it would now be accepted', async (t) => {
  const world = new ControlWorld();
  const add = addCommand('authd', { host: '127.1.0.9', port: 9000 });
  const first = world.send('tarjeta', 'c1', add);
  t.match(first.outcome, { accepted: false, error: { kind: 'not-found' } });
  world.send('tarjeta', 'c2', defineAuthd);
  t.strictSame(world.send('tarjeta', 'c1', add).outcome, first.outcome);
});

t.test('a command ID used for another command is refused', async (t) => {
  const world = new ControlWorld();
  world.send('tarjeta', 'c1', defineAuthd);
  const other = world.send('tarjeta', 'c1', { type: 'retire-service', service: 'authd' });
  t.match(other.outcome, { accepted: false, error: { kind: 'command-id-reused' } });
});

t.test('of two changes based on the same version the second conflicts', async (t) => {
  const world = new ControlWorld();
  world.send('tarjeta', 'c1', defineAuthd);
  const change = (commandId: string) =>
    world.send('tarjeta', commandId, {
      type: 'change-service',
      service: 'authd',
      policy: 'random',
      basedOnVersion: 1,
    });
  t.match(change('c2').outcome, { accepted: true, version: 2 });
  t.match(change('c3').outcome, { accepted: false, error: { kind: 'conflict' } });
});

t.test(
  'changes of two operators to their own services do not conflict at the same version',
  async (t) => {
    const world = new ControlWorld();
    world.define('tarjeta', 'authd', '127.1.0.1');
    world.define('hara', 'authd', '127.2.0.1');
    const change = {
      type: 'change-service',
      service: 'authd',
      policy: 'random',
      basedOnVersion: 1,
    };
    for (const operator of ['tarjeta', 'hara']) {
      const { outcome } = world.send(operator, 'same-id', change as Command);
      t.match(outcome, { accepted: true, version: 2 });
    }
  },
);

t.test(
  'a service or back end of another operator is not found, like one that does not exist',
  async (t) => {
    const world = new ControlWorld();
    world.send('tarjeta', 'c1', defineAuthd);
    const backendId = world.add('tarjeta', 'authd', '127.1.0.9');
    const commands: Command[] = [
      { type: 'retire-service', service: 'authd' },
      { type: 'retire-service', service: 'nothing' },
      { type: 'drain-backend', backendId },
    ];
    for (const command of commands) {
      const { outcome } = world.send('hara', JSON.stringify(command), command);
      t.match(outcome, { accepted: false, error: { kind: 'not-found' } });
    }
  },
);

t.test('an operator may not send a system command', async (t) => {
  const world = new ControlWorld();
  const { outcome } = world.send('hara', 'h1', { type: 'set-operators', operators: [] });
  t.match(outcome, { accepted: false, error: { kind: 'unauthorized' } });
});

t.test('an address granted to another operator is refused, whether in use or not', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  world.define('hara', 'board-api', '127.2.0.1');
  for (const host of ['127.1.0.1', '127.1.0.2']) {
    const { outcome } = world.send('hara', host, addCommand('board-api', { host, port: 7000 }));
    t.match(outcome, { accepted: false, error: { kind: 'unauthorized' } });
  }
});

t.test('an active back end cannot be retired', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  const backendId = world.add('tarjeta', 'authd', '127.1.0.9');
  const { outcome } = world.send('tarjeta', 'c1', { type: 'retire-backend', backendId });
  t.match(outcome, { accepted: false, error: { kind: 'conflict' } });
});

t.test('the ID of a retired back end is not reused', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  const first = world.add('tarjeta', 'authd', '127.1.0.9');
  world.retire('tarjeta', first);
  t.not(world.add('tarjeta', 'authd', '127.1.0.9'), first);
});

t.test('accepted and refused commands are in the audit log of their operator', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  world.send('tarjeta', 'c1', { type: 'drain-backend', backendId: 9 });
  world.send('hara', 'h1', { type: 'cancel-plan', planId: 1 });
  const log = world.state.owners.get('tarjeta')?.auditLog ?? [];
  t.match(log, [
    { number: 1, atMs: world.nowMs, outcome: { accepted: true } },
    { number: 2, commandId: 'c1', outcome: { accepted: false, error: { kind: 'not-found' } } },
  ]);
  t.equal(log.length, 2);
});
