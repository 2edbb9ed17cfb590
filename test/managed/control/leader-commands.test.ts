/** @file System commands proposed by the leader: planned changes, key rotation and address release. */
import t from 'tap';
import {
  decodeClusterState,
  encodeClusterState,
} from '../../../src/managed/control/cluster-snapshot.js';
import type { CommandEntry } from '../../../src/managed/control/commands.js';
import { leaderCommands } from '../../../src/managed/control/leader-commands.js';
import { addCommand, ControlWorld } from './control-world.js';

const DAY_MS = 24 * 60 * 60 * 1000;
const secret = new Uint8Array(16);

function proposed(world: ControlWorld, inForceIndex = world.state.index): CommandEntry[] {
  const fencedIndex = inForceIndex;
  return leaderCommands(world.state, {
    nowMs: world.nowMs,
    inForceIndex,
    fencedIndex,
    freshSecret: secret,
  });
}

function applyEntries(world: ControlWorld, entries: readonly CommandEntry[]) {
  return entries.map(({ operator, commandId, command }) =>
    world.send(operator, commandId, command),
  );
}

function keyStates(world: ControlWorld): string[] {
  return [...world.state.routing.keys.values()].map(({ id, state }) => `${id} ${state}`);
}

t.test(
  'a planned change runs once when it is due, and its outcome is in the audit log',
  async (t) => {
    const world = new ControlWorld();
    world.define('tarjeta', 'authd', '127.1.0.1');
    const backendId = world.add('tarjeta', 'authd', '127.1.0.9');
    const change = { type: 'drain-backend' as const, backendId };
    world.accepted('tarjeta', { type: 'plan-change', when: { inMs: 60_000 }, change });
    world.nowMs += 59_999;
    t.strictSame(proposed(world), []);
    world.nowMs += 1;
    const due = proposed(world);
    t.match(applyEntries(world, due), [{ outcome: { accepted: true } }]);
    t.equal(world.state.routing.backends.get(backendId)?.adminState, 'draining');
    t.match(applyEntries(world, due), [
      { outcome: { accepted: false, error: { kind: 'not-found' } } },
    ]);
    t.strictSame(proposed(world), []);
    t.match(world.state.owners.get('tarjeta')?.auditLog.at(-1), { command: change });
  },
);

t.test('a planned change is refused before its time, even if a leader proposes it', async (t) => {
  const world = new ControlWorld();
  const when = { atMs: world.nowMs + 1000 };
  const change = { type: 'retire-service' as const, service: 'authd' };
  const { planId = 0 } = world.accepted('tarjeta', { type: 'plan-change', when, change });
  const early = world.system({ type: 'run-planned-change', operator: 'tarjeta', planId });
  t.match(early.outcome, { accepted: false, error: { kind: 'conflict' } });
  t.equal(world.state.owners.get('tarjeta')?.plans.size, 1);
});

t.test('only its owner can cancel a planned change, and a cancelled one never runs', async (t) => {
  const world = new ControlWorld();
  const change = { type: 'retire-service' as const, service: 'authd' };
  const plan = { type: 'plan-change' as const, when: { inMs: 10 }, change };
  const { planId = 0 } = world.accepted('tarjeta', plan);
  const foreign = world.send('hara', 'h1', { type: 'cancel-plan', planId });
  t.match(foreign.outcome, { accepted: false, error: { kind: 'not-found' } });
  world.accepted('tarjeta', { type: 'cancel-plan', planId });
  world.nowMs += 10;
  t.strictSame(proposed(world), []);
});

t.test(
  'a key becomes current once it is in force on every balancer; the previous key is kept for 14 days',
  async (t) => {
    const world = new ControlWorld();
    world.system({ type: 'set-token-key', id: 255, secret, state: 'current' });
    world.nowMs += 7 * DAY_MS;
    const behindIndex = world.state.index;
    applyEntries(world, proposed(world));
    t.strictSame(keyStates(world), ['255 current', '0 next']);
    t.strictSame(proposed(world, behindIndex), []);
    applyEntries(world, proposed(world));
    t.strictSame(keyStates(world), ['255 previous', '0 current']);
    world.nowMs += 14 * DAY_MS - 1;
    t.notOk(proposed(world).some(({ command }) => command.type === 'remove-token-key'));
    world.nowMs += 1;
    applyEntries(world, proposed(world));
    t.strictSame(keyStates(world), ['0 current']);
  },
);

t.test('removing or directly replacing the current key is refused', async (t) => {
  const world = new ControlWorld();
  world.system({ type: 'set-token-key', id: 1, secret, state: 'current' });
  const commands = [
    { type: 'remove-token-key', id: 1 },
    { type: 'set-token-key', id: 2, secret, state: 'current' },
    { type: 'promote-token-key', id: 1 },
  ] as const;
  for (const command of commands) {
    t.match(world.system(command).outcome, { accepted: false, error: { kind: 'conflict' } });
  }
  t.strictSame(keyStates(world), ['1 current']);
});

t.test('an address can be added to another service only after its removal is fenced', async (t) => {
  const world = new ControlWorld();
  const address = { host: '127.1.0.9', port: 9000 };
  world.define('tarjeta', 'authd', '127.1.0.1');
  world.define('tarjeta', 'settled', '127.1.0.2');
  world.retire('tarjeta', world.add('tarjeta', 'authd', address.host));
  const removedIndex = world.state.index;
  const tooEarly = world.send('tarjeta', 'c1', addCommand('settled', address));
  t.match(tooEarly.outcome, { accepted: false, error: { kind: 'conflict' } });
  t.strictSame(proposed(world, removedIndex - 1), []);
  applyEntries(world, proposed(world, removedIndex));
  t.match(world.send('tarjeta', 'c2', addCommand('settled', address)).outcome, { accepted: true });
});

t.test(
  'an address can be added back to its service before release; a second removal is fenced again',
  async (t) => {
    const world = new ControlWorld();
    world.define('tarjeta', 'authd', '127.1.0.1');
    world.define('tarjeta', 'settled', '127.1.0.2');
    world.retire('tarjeta', world.add('tarjeta', 'authd', '127.1.0.9'));
    const firstRemoval = world.state.index;
    world.retire('tarjeta', world.add('tarjeta', 'authd', '127.1.0.9'));
    t.strictSame(proposed(world, firstRemoval), []);
  },
);

t.test('the address of a retired service is fenced', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  world.accepted('tarjeta', { type: 'retire-service', service: 'authd' });
  t.throws(() => world.define('tarjeta', 'settled', '127.1.0.1'), /left a service/);
  applyEntries(world, proposed(world));
  t.ok(world.define('tarjeta', 'settled', '127.1.0.1').serviceId);
});

t.test('a snapshot restores the same state and encodes to the same bytes', async (t) => {
  const world = new ControlWorld();
  world.system({ type: 'set-token-key', id: 1, secret, state: 'current' });
  world.define('tarjeta', 'authd', '127.1.0.1');
  world.retire('tarjeta', world.add('tarjeta', 'authd', '127.1.0.9'));
  world.add('tarjeta', 'authd', '127.1.0.8');
  const change = { type: 'retire-service' as const, service: 'authd' };
  world.accepted('tarjeta', { type: 'plan-change', when: { inMs: 10 }, change });
  const restored = decodeClusterState(encodeClusterState(world.state));
  t.strictSame(restored, world.state);
  t.strictSame(encodeClusterState(restored), encodeClusterState(world.state));
});
