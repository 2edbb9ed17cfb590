/** @file Updates from any earlier version lead to the current configuration. */
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

/** The service of each port, from 0 on; an empty string if there is no route. */
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

t.test('one update leads from any version to the newest', async (t) => {
  fc.assert(
    fc.property(fc.array(services, { minLength: 2, maxLength: 8 }), fc.nat(), (configs, pick) => {
      const history = createConfigHistory(undefined);
      const baseIndex = pick % configs.length;
      const table = new RouteTable();
      configs.forEach((config, index) => {
        history.apply(configOf(10 * (index + 1), config));
        if (index === baseIndex) {
          table.applyUpdate(fullUpdate(configOf(10 * (index + 1), config)));
        }
      });
      const update = history.updateFrom(table.config?.version ?? 0);
      if (update !== undefined && table.applyUpdate(update) !== 'applied') {
        return false;
      }
      return (
        JSON.stringify(servicesOf(table)) === JSON.stringify(configs.at(-1)) &&
        table.config?.version === history.version
      );
    }),
    { seed: 11, numRuns: 300 },
  );
  t.pass();
});

t.test('an update has only the changes, and none is needed for the newest version', async (t) => {
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
  t.equal(history.updateFrom(6), undefined, 'none for a newer version');
  t.equal(history.updateFrom(4)?.baseVersion, 0, 'a full update for an unknown version');
});

t.test('a change of timeouts alone changes no route', async (t) => {
  const previous = configOf(1, ['alpha']);
  const update = updateBetween(previous, { ...previous, version: 2, idleTimeoutMs: 9_000 });
  t.same(update.changes, []);
  const table = new RouteTable();
  table.applyUpdate(fullUpdate(previous));
  t.equal(table.applyUpdate(update), 'applied');
  t.same(table.config, { version: 2, idleTimeoutMs: 9_000, warmUps: new Map() });
  t.same(partOf(update, 0, 10).changeCount, 0);
});

t.test('the history is bounded, and older versions get a full update', async (t) => {
  const history = createConfigHistory(configOf(1, ['alpha']));
  for (let version = 2; version <= 400; version += 1) {
    history.apply(configOf(version, [version % 2 === 0 ? 'beta' : 'alpha']));
  }
  t.equal(history.updateFrom(399)?.baseVersion, 399);
  t.equal(history.updateFrom(10)?.baseVersion, 0);
});

/*
 * A balancer resumes an update from another control machine by the number of changes received. Machines that skipped
 * versions, after a snapshot, must list the same changes, or the balancer misses a route.
 */
t.test('machines that skipped different versions make the same update', async (t) => {
  const versions = fc.array(services, { minLength: 3, maxLength: 6 });
  const skipped = fc.array(fc.boolean(), { minLength: 6, maxLength: 6 });
  fc.assert(
    fc.property(versions, skipped, (configs, areSkipped) => {
      const complete = createConfigHistory(undefined);
      const withGaps = createConfigHistory(undefined);
      configs.forEach((config, index) => {
        complete.apply(configOf(index + 1, config));
        if (index === 0 || index === configs.length - 1 || areSkipped[index] !== true) {
          withGaps.apply(configOf(index + 1, config));
        }
      });
      return JSON.stringify(complete.updateFrom(1)) === JSON.stringify(withGaps.updateFrom(1));
    }),
    { seed: 7, numRuns: 2_000 },
  );
  t.pass();
});

t.test('parts of different lists of changes do not form an update', async (t) => {
  const first = configOf(1, ['alpha', 'alpha', 'alpha', 'alpha']);
  const update = updateBetween(first, configOf(3, ['beta', 'beta', 'beta', 'beta']));
  const longer = { ...update, changes: [...update.changes, ...update.changes.slice(-1)] };
  const assembly = createConfigAssembly();
  t.equal(assembly.addPart(partOf(longer, 0, 2)).type, 'unfinished');
  t.equal(assembly.addPart(partOf(update, 2, 2)).type, 'unfit');
});
