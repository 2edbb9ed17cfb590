/** @file A balancer that applies updates, from whatever it holds, ends with the configuration that holds. */
import fc from 'fast-check';
import t from 'tap';
import {
  partOf,
  updateBetween,
  fullUpdate,
} from '../../../src/registered/declared/config-update.js';
import type { DeclaredConfig } from '../../../src/registered/declared/declared-config.js';
import { createConfigHistory } from '../../../src/registered/group/feed/config-history.js';
import { createConfigAssembly } from '../../../src/registered/ingress/config-assembly.js';
import { RouteTable } from '../../../src/registered/ingress/route-table.js';

const PORTS = 12;
const HOST = 0xc6120001;

/** Services of the ports from 0 on; an empty text for no route. */
type Services = readonly string[];

function configOf(version: number, services: Services): DeclaredConfig {
  return {
    version,
    routes: services.flatMap((service, port) =>
      service === ''
        ? []
        : [
            {
              name: `r${port}`,
              host: '198.18.0.1',
              port,
              targets: [{ service, weight: 1 }],
              kind: 'repeatable' as const,
              timeoutMs: 1_000 + version,
            },
          ],
    ),
    services: [{ name: 'alpha' }, { name: 'beta' }],
    idleTimeoutMs: 15_000,
  };
}

function servicesOf(table: RouteTable): Services {
  return Array.from({ length: PORTS }, (_, port) => table.nextService(HOST, port) ?? '');
}

const services = fc.array(fc.constantFrom('', 'alpha', 'beta'), {
  minLength: PORTS,
  maxLength: PORTS,
});

t.test('from any version held, one update leads to the newest', async (t) => {
  fc.assert(
    fc.property(fc.array(services, { minLength: 2, maxLength: 8 }), fc.nat(), (all, pick) => {
      const history = createConfigHistory(undefined);
      const heldAt = pick % all.length;
      const table = new RouteTable();
      all.forEach((config, at) => {
        history.apply(configOf(10 * (at + 1), config));
        if (at === heldAt) {
          table.applyUpdate(fullUpdate(configOf(10 * (at + 1), config)));
        }
      });
      const update = history.updateFrom(table.config?.version ?? 0);
      if (update !== undefined && table.applyUpdate(update) !== 'applied') {
        return false;
      }
      return (
        JSON.stringify(servicesOf(table)) === JSON.stringify(all.at(-1)) &&
        table.config?.version === history.version
      );
    }),
    { seed: 11, numRuns: 300 },
  );
  t.pass();
});

t.test('only what changed is told, and nothing to whoever holds the newest', async (t) => {
  const history = createConfigHistory(configOf(1, ['alpha', 'alpha', 'beta']));
  history.apply(configOf(2, ['alpha', 'beta', 'beta']));
  history.apply(configOf(5, ['alpha', 'beta', '', 'alpha']));
  t.same(
    history.updateFrom(1)?.changes.map(({ port }) => port),
    [1, 2, 3],
  );
  t.equal(history.updateFrom(1)?.baseVersion, 1);
  t.same(
    history.updateFrom(2)?.changes.map(({ port }) => port),
    [2, 3],
  );
  t.equal(history.updateFrom(5), undefined);
  t.equal(history.updateFrom(6), undefined, 'nor to one that holds a newer one');
  t.equal(history.updateFrom(4)?.baseVersion, 0, 'all to one that holds what is not known');
});

t.test('a change of times alone changes no route', async (t) => {
  const before = configOf(1, ['alpha']);
  const update = updateBetween(before, { ...before, version: 2, idleTimeoutMs: 9_000 });
  t.same(update.changes, []);
  const table = new RouteTable();
  table.applyUpdate(fullUpdate(before));
  t.equal(table.applyUpdate(update), 'applied');
  t.same(table.config, { version: 2, idleTimeoutMs: 9_000, warmUps: new Map() });
  t.same(partOf(update, 0, 10).changeCount, 0);
});

t.test('what is kept is bounded, and the whole is told instead', async (t) => {
  const history = createConfigHistory(configOf(1, ['alpha']));
  for (let version = 2; version <= 400; version += 1) {
    history.apply(configOf(version, [version % 2 === 0 ? 'beta' : 'alpha']));
  }
  t.equal(history.updateFrom(399)?.baseVersion, 399);
  t.equal(history.updateFrom(10)?.baseVersion, 0);
});

/*
 * A balancer that got a part of an update from one control machine asks another one for the rest, and names only versions
 * and how many changes it has. A machine that took over a snapshot has skipped versions: where a route changed and changed
 * back in between, the update of a machine that saw every version had one change more, the rest was cut off one change
 * too late, and the balancer stayed without a route of the version that it called in force.
 */
t.test('machines that skipped different versions make the same update', async (t) => {
  const versions = fc.array(services, { minLength: 3, maxLength: 6 });
  const skipped = fc.array(fc.boolean(), { minLength: 6, maxLength: 6 });
  fc.assert(
    fc.property(versions, skipped, (all, areSkipped) => {
      const every = createConfigHistory(undefined);
      const some = createConfigHistory(undefined);
      all.forEach((config, at) => {
        every.apply(configOf(at + 1, config));
        if (at === 0 || at === all.length - 1 || areSkipped[at] !== true) {
          some.apply(configOf(at + 1, config));
        }
      });
      return JSON.stringify(every.updateFrom(1)) === JSON.stringify(some.updateFrom(1));
    }),
    { seed: 7, numRuns: 2_000 },
  );
  t.pass();
});

t.test('the rest of another list of changes does not complete an update', async (t) => {
  const first = configOf(1, ['alpha', 'alpha', 'alpha', 'alpha']);
  const update = updateBetween(first, configOf(3, ['beta', 'beta', 'beta', 'beta']));
  const longer = { ...update, changes: [...update.changes, ...update.changes.slice(-1)] };
  const assembly = createConfigAssembly();
  t.equal(assembly.addPart(partOf(longer, 0, 2)).type, 'unfinished');
  t.equal(assembly.addPart(partOf(update, 2, 2)).type, 'unfit');
});
