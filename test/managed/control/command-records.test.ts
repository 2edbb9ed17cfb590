/** @file Commands sent again: at once, after a restart, and after their result has been forgotten. */
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
const SMALL_BOUNDS = { windowMs: DAY_MS, maxRecords: 10, maxUntimedIds: 3 };

function change(policy: 'random' | 'maglev'): Command {
  return { type: 'change-service', service: 'authd', policy };
}

function worldWithService(...bounds: ConstructorParameters<typeof ControlWorld>): ControlWorld {
  const world = new ControlWorld(...bounds);
  world.define('tarjeta', 'authd', '127.1.0.1');
  return world;
}

/** All control machines restart from a snapshot. */
function restart(world: ControlWorld): void {
  Object.assign(world.state, decodeClusterState(encodeClusterState(world.state)));
}

t.test(
  'a command sent again after a restart has its first outcome and changes nothing',
  async (t) => {
    const world = worldWithService();
    const id = timedCommandId(world.nowMs, 'a');
    const first = world.send('tarjeta', id, change('random'));
    world.accepted('tarjeta', change('maglev'));
    restart(world);
    world.nowMs += HOUR_MS;
    t.strictSame(world.send('tarjeta', id, change('random')), { ...first, changes: [] });
    t.match([...world.state.routing.services.values()], [{ policy: 'maglev', version: 3 }]);
  },
);

t.test(
  'a command is refused as expired once its result may be forgotten, and not applied',
  async (t) => {
    const world = worldWithService();
    const id = timedCommandId(world.nowMs, 'a');
    world.send('tarjeta', id, change('random'));
    world.accepted('tarjeta', change('maglev'));
    world.nowMs += DAY_MS;
    for (const restarted of [false, true]) {
      if (restarted) {
        restart(world);
      }
      const late = world.send('tarjeta', id, change('random'));
      t.match(late.outcome, { accepted: false, error: { kind: 'command-expired' } });
      t.match([...world.state.routing.services.values()], [{ policy: 'maglev' }]);
    }
  },
);

t.test('a clock that goes back does not let an expired command apply', async (t) => {
  const world = worldWithService();
  const id = timedCommandId(world.nowMs, 'a');
  world.send('tarjeta', id, change('random'));
  world.nowMs += 2 * DAY_MS;
  world.accepted('tarjeta', change('maglev'));
  world.nowMs -= 2 * DAY_MS;
  const late = world.send('tarjeta', id, change('random'));
  t.match(late.outcome, { accepted: false, error: { kind: 'command-expired' } });
});

t.test(
  'where too many results are kept the oldest expire early, and none applies twice',
  async (t) => {
    const world = worldWithService(SMALL_BOUNDS);
    const ids = Array.from({ length: 30 }, (_, number) => {
      world.nowMs += 1_000;
      const id = timedCommandId(world.nowMs, String(number));
      world.send('tarjeta', id, change('random'));
      return id;
    });
    const version = () => [...world.state.routing.services.values()][0]?.version;
    const before = version();
    const outcomes = ids.map((id) => world.send('tarjeta', id, change('random')).outcome);
    t.equal(version(), before);
    t.match(outcomes[0], { accepted: false, error: { kind: 'command-expired' } });
    t.match(outcomes.at(-1), { accepted: true });
    t.ok((world.state.owners.get('tarjeta')?.commandRecords.size ?? 0) <= 11);
  },
);

t.test('an ID without a time is known for good, and only so many are taken', async (t) => {
  const world = new ControlWorld(SMALL_BOUNDS);
  const retire: Command = { type: 'retire-service', service: 'authd' };
  const first = world.send('tarjeta', 'plain-0', retire);
  world.nowMs += 3 * DAY_MS;
  t.strictSame(world.send('tarjeta', 'plain-0', retire).outcome, first.outcome);
  world.send('tarjeta', 'plain-1', retire);
  world.send('tarjeta', 'plain-2', retire);
  const onceTooMany = world.send('tarjeta', 'plain-3', retire);
  t.match(onceTooMany.outcome, { accepted: false, error: { kind: 'invalid-command' } });
  t.match(world.send('hara', 'plain-0', retire).outcome, { error: { kind: 'not-found' } });
});

t.test(
  'an address that is granted anew to the other partner is refused until it is fenced',
  async (t) => {
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
    t.match(move('before-the-fence').outcome, { accepted: false, error: { kind: 'conflict' } });
    world.system({ type: 'release-addresses', fencedIndex: removedIndex - 1 });
    t.match(move('too-early').outcome, { accepted: false, error: { kind: 'conflict' } });
    world.system({ type: 'release-addresses', fencedIndex: removedIndex });
    t.match(move('after-the-fence').outcome, { accepted: true });
  },
);
