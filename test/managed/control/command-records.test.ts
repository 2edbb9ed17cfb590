/** @file Guards against applying a repeated command twice, including after a restart and after its record expired. */
import t from 'tap';
import {
  decodeClusterState,
  encodeClusterState,
} from '../../../src/managed/control/cluster-snapshot.js';
import { timedCommandId } from '../../../src/managed/control/command-id.js';
import type { Command } from '../../../src/managed/control/commands.js';
import { addCommand, ControlWorld } from './control-world.js';

const HOUR_MS = 60 * 60 * 1000;
const DAY_MS = 24 * HOUR_MS;
const SMALL_BOUNDS = { retentionMs: DAY_MS, maxRecords: 10, maxUntimedIds: 3 };

function changePolicy(policy: 'random' | 'maglev'): Command {
  return { type: 'change-service', service: 'authd', policy };
}

function createWorldWithService(
  ...bounds: ConstructorParameters<typeof ControlWorld>
): ControlWorld {
  const world = new ControlWorld(...bounds);
  world.define('tarjeta', 'authd', '127.1.0.1');
  return world;
}

/** Replaces the state by its decoded snapshot, as a restart does. */
function restart(world: ControlWorld): void {
  Object.assign(world.state, decodeClusterState(encodeClusterState(world.state)));
}

t.test(
  'a command repeated after a restart gets its first outcome and changes nothing',
  async (t) => {
    const world = createWorldWithService();
    const id = timedCommandId(world.nowMs, 'a');
    const first = world.send('tarjeta', id, changePolicy('random'));
    world.accepted('tarjeta', changePolicy('maglev'));
    restart(world);
    world.nowMs += HOUR_MS;
    t.strictSame(world.send('tarjeta', id, changePolicy('random')), { ...first, changes: [] });
    t.match([...world.state.routing.services.values()], [{ policy: 'maglev', version: 3 }]);
  },
);

t.test(
  'a repeated command is refused as expired after the retention period and not applied again',
  async (t) => {
    const world = createWorldWithService();
    const id = timedCommandId(world.nowMs, 'a');
    world.send('tarjeta', id, changePolicy('random'));
    world.accepted('tarjeta', changePolicy('maglev'));
    world.nowMs += DAY_MS;
    for (const restarted of [false, true]) {
      if (restarted) {
        restart(world);
      }
      const retry = world.send('tarjeta', id, changePolicy('random'));
      t.match(retry.outcome, { accepted: false, error: { kind: 'command-expired' } });
      t.match([...world.state.routing.services.values()], [{ policy: 'maglev' }]);
    }
  },
);

t.test('an expired command stays expired after the clock goes back', async (t) => {
  const world = createWorldWithService();
  const id = timedCommandId(world.nowMs, 'a');
  world.send('tarjeta', id, changePolicy('random'));
  world.nowMs += 2 * DAY_MS;
  world.accepted('tarjeta', changePolicy('maglev'));
  world.nowMs -= 2 * DAY_MS;
  const retry = world.send('tarjeta', id, changePolicy('random'));
  t.match(retry.outcome, { accepted: false, error: { kind: 'command-expired' } });
});

t.test(
  'above the record limit the oldest records expire early and no command is applied twice',
  async (t) => {
    const world = createWorldWithService(SMALL_BOUNDS);
    const ids = Array.from({ length: 30 }, (_, number) => {
      world.nowMs += 1_000;
      const id = timedCommandId(world.nowMs, String(number));
      world.send('tarjeta', id, changePolicy('random'));
      return id;
    });
    const version = () => [...world.state.routing.services.values()][0]?.version;
    const initialVersion = version();
    const outcomes = ids.map((id) => world.send('tarjeta', id, changePolicy('random')).outcome);
    t.equal(version(), initialVersion);
    t.match(outcomes[0], { accepted: false, error: { kind: 'command-expired' } });
    t.match(outcomes.at(-1), { accepted: true });
    t.ok((world.state.owners.get('tarjeta')?.commandRecords.size ?? 0) <= 11);
  },
);

t.test(
  'records of IDs without a timestamp never expire, and their number is limited',
  async (t) => {
    const world = new ControlWorld(SMALL_BOUNDS);
    const retire: Command = { type: 'retire-service', service: 'authd' };
    const first = world.send('tarjeta', 'plain-0', retire);
    world.nowMs += 3 * DAY_MS;
    t.strictSame(world.send('tarjeta', 'plain-0', retire).outcome, first.outcome);
    world.send('tarjeta', 'plain-1', retire);
    world.send('tarjeta', 'plain-2', retire);
    const overLimit = world.send('tarjeta', 'plain-3', retire);
    t.match(overLimit.outcome, { accepted: false, error: { kind: 'invalid-command' } });
    t.match(world.send('hara', 'plain-0', retire).outcome, { error: { kind: 'not-found' } });
  },
);

t.test('an address granted to another operator is refused until its quarantine ends', async (t) => {
  const world = new ControlWorld();
  world.define('tarjeta', 'authd', '127.1.0.1');
  world.define('hara', 'board-api', '127.2.0.1');
  const address = { host: '127.1.0.9', port: 9000 };
  const backendId = world.add('tarjeta', 'authd', address.host);
  world.system({
    type: 'set-operators',
    operators: [
      { name: 'tarjeta', tokenHash: 'a', addressRanges: ['127.1.0.1/32'] },
      { name: 'hara', tokenHash: 'b', addressRanges: ['127.2.0.0/16', '127.1.0.9/32'] },
    ],
  });
  const move = (commandId: string) =>
    world.send('hara', commandId, addCommand('board-api', address));
  t.match(move('while-in-use').outcome, { accepted: false, error: { kind: 'conflict' } });
  world.retire('tarjeta', backendId);
  const removedIndex = world.state.index;
  t.match(move('before-release').outcome, { accepted: false, error: { kind: 'conflict' } });
  world.system({ type: 'release-addresses', fencedIndex: removedIndex - 1 });
  t.match(move('too-early').outcome, { accepted: false, error: { kind: 'conflict' } });
  world.system({ type: 'release-addresses', fencedIndex: removedIndex });
  t.match(move('after-release').outcome, { accepted: true });
});
