/** @file The replicated step. */
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

t.test('a command sent again is applied once and gets the same outcome', async (t) => {
  const world = new ControlWorld();
  const first = world.send('tarjeta', 'c1', defineAuthd);
  const second = world.send('tarjeta', 'c1', defineAuthd);
  t.strictSame(second.outcome, first.outcome);
  t.strictSame(second.changes, []);
  t.equal(world.state.routing.services.size, 1);
});

t.test(
  'a refused command sent again is refused as the first time, also once it could pass',
  async (t) => {
    const world = new ControlWorld();
    const add = addCommand('authd', { host: '127.1.0.9', port: 9000 });
    const first = world.send('tarjeta', 'c1', add);
    t.match(first.outcome, { accepted: false, error: { kind: 'not-found' } });
    world.send('tarjeta', 'c2', defineAuthd);
    t.strictSame(world.send('tarjeta', 'c1', add).outcome, first.outcome);
  },
);

t.test('a command ID used for another command is refused', async (t) => {
  const world = new ControlWorld();
  world.send('tarjeta', 'c1', defineAuthd);
  const other = world.send('tarjeta', 'c1', { type: 'retire-service', service: 'authd' });
  t.match(other.outcome, { accepted: false, error: { kind: 'command-id-reused' } });
});

t.test('of two changes on an equal version the later one conflicts', async (t) => {
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
  'changes on an equal version from two partners both pass, each on their own service',
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

t.test("another partner's service is not found, whether it exists or not", async (t) => {
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
});

t.test('an operator may not send a command of the system', async (t) => {
  const world = new ControlWorld();
  const { outcome } = world.send('hara', 'h1', { type: 'set-operators', operators: [] });
  t.match(outcome, { accepted: false, error: { kind: 'unauthorized' } });
});

t.test('an address is refused where it is granted to another, used or not', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  world.define('hara', 'board-api', '127.2.0.1');
  for (const host of ['127.1.0.1', '127.1.0.2']) {
    const { outcome } = world.send('hara', host, addCommand('board-api', { host, port: 7000 }));
    t.match(outcome, { accepted: false, error: { kind: 'unauthorized' } });
  }
});

t.test('an active back end is not retired', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  const backendId = world.add('tarjeta', 'authd', '127.1.0.9');
  const { outcome } = world.send('tarjeta', 'c1', { type: 'retire-backend', backendId });
  t.match(outcome, { accepted: false, error: { kind: 'conflict' } });
});

t.test('IDs of services and back ends are never used again', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  const first = world.add('tarjeta', 'authd', '127.1.0.9');
  world.retire('tarjeta', first);
  t.not(world.add('tarjeta', 'authd', '127.1.0.9'), first);
});

t.test('every command, accepted or refused, stands in the audit log of its operator', async (t) => {
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
