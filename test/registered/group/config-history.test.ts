/** @file Updates from any earlier version lead to the current configuration. */
import fc from 'fast-check';
import t from 'tap';
import {
  nextPartOf,
  partOf,
  updateBetween,
  fullUpdate,
  type ConfigUpdate,
} from '../../../src/registered/declared/config-update.js';
import type { DeclaredConfig } from '../../../src/registered/declared/declared-config.js';
import { createConfigHistory } from '../../../src/registered/group/feed/config-history.js';
import { createConfigAssembly } from '../../../src/registered/ingress/config-assembly.js';
import { RouteTable } from '../../../src/registered/ingress/route-table.js';

const PORTS = 12;
const HOST = 0xc6120001;

/** The service of each port, from 0 on; an empty string if there is no route. A priority may follow, as in `alpha 2`. */
type Services = readonly string[];

function configOf(version: number, services: Services): DeclaredConfig {
  return {
    version,
    routes: services.flatMap((serviceAndPriority, port) => {
      const [service = '', priority] = serviceAndPriority.split(' ');
      const route = {
        name: `r${port}`,
        host: '198.18.0.1',
        port,
        targets: [{ service, weight: 1 }],
        kind: 'repeatable' as const,
        timeoutMs: 1_000,
        ...(priority !== undefined && { priority: Number(priority) }),
      };
      return service === '' ? [] : [route];
    }),
    services: [{ name: 'alpha' }, { name: 'beta' }],
    idleTimeoutMs: 15_000,
  };
}

function servicesOf(table: RouteTable): Services {
  return Array.from({ length: PORTS }, (_, port) => table.nextService(HOST, port) ?? '');
}

function withoutPriorities(services: Services | undefined): Services | undefined {
  return services?.map((service) => service.split(' ')[0] ?? '');
}

/** @returns true if a table has the attributes that a full update supplies */
function hasAttributesOf(table: RouteTable, config: DeclaredConfig): boolean {
  return fullUpdate(config).changes.every(
    ({ port, attributes }) =>
      JSON.stringify(table.attributesOf(HOST, port)) === JSON.stringify(attributes),
  );
}

const services = fc.array(fc.constantFrom('', 'alpha', 'alpha 1', 'beta', 'beta 2'), {
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
        JSON.stringify(servicesOf(table)) === JSON.stringify(withoutPriorities(configs.at(-1))) &&
        hasAttributesOf(table, configOf(history.version, configs.at(-1) ?? [])) &&
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

t.test('a change of the idle timeout alone changes no route', async (t) => {
  const previous = configOf(1, ['alpha']);
  const update = updateBetween(previous, { ...previous, version: 2, idleTimeoutMs: 9_000 });
  t.same(update.changes, []);
  const table = new RouteTable();
  table.applyUpdate(fullUpdate(previous));
  t.equal(table.applyUpdate(update), 'applied');
  t.same(table.config, { version: 2, idleTimeoutMs: 9_000, warmUps: new Map() });
  t.same(partOf(update, 0, 10).changeCount, 0);
});

t.test('no route changes by a time-out or kind that no balancer reads', async (t) => {
  const base = configOf(1, ['alpha', 'beta']);
  const routes = base.routes.map((route) => ({
    ...route,
    timeoutMs: 700,
    kind: 'at-most-once' as const,
  }));
  t.same(updateBetween(base, { ...base, version: 2, routes }).changes, []);
});

t.test('a change of a priority or objective alone reaches balancers', async (t) => {
  const [route, other] = configOf(1, ['alpha', 'beta']).routes;
  const changes = [{ priority: 1 }, { latencyObjectiveMs: 200 }];
  for (const change of changes) {
    const base = configOf(1, ['alpha', 'beta']);
    const next = {
      ...base,
      version: 2,
      routes: [{ ...route, ...change }, other],
    } as DeclaredConfig;
    const history = createConfigHistory(base);
    history.apply(next);
    const update = history.updateFrom(1);
    t.same(
      update?.changes.map(({ port }) => port),
      [0],
      JSON.stringify(change),
    );
    const table = new RouteTable();
    table.applyUpdate(fullUpdate(base));
    table.applyUpdate(update ?? fullUpdate(next));
    t.same(table.attributesOf(HOST, 0), fullUpdate(next).changes[0]?.attributes);
    history.apply({ ...base, version: 3 });
    t.same(history.updateFrom(1)?.changes, [], 'taken back within the merged steps');
  }
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

// A message that takes longer than the timeout of a feed on a slow link would be sent again and again.
t.test('parts stay small however long and many the targets of routes are', async (t) => {
  const longName = (route: number, target: number) => `${route}-${target}-`.padEnd(100, 'x');
  const targetCounts = [1, 2_000, 0, 300, 400, ...Array.from({ length: 1_500 }, () => 2)];
  const changes = targetCounts.map((count, route) => ({
    host: '198.18.0.1',
    port: route + 1,
    targets: Array.from({ length: count }, (_, index) => ({
      service: longName(route, index),
      weight: 1,
    })),
  }));
  const warmUps = [{ service: 'alpha', warmUpMs: 1, coldRequestsPerS: 1 }];
  const update = { version: 3, baseVersion: 0, idleTimeoutMs: 1, warmUps, changes };
  const assembly = createConfigAssembly();
  let changesSent = 0;
  let outcome = assembly.addPart(partOf(update, 0, 0));
  while (changesSent < changes.length) {
    const part = nextPartOf(update, changesSent);
    const characters = part.changes.flatMap(({ targets }) => targets ?? []).length * 101;
    t.ok(part.changes.length === 1 || characters <= 64 * 1024, `from ${changesSent}`);
    changesSent += part.changes.length;
    outcome = assembly.addPart(part);
    t.equal(
      part.warmUps.length > 0,
      changesSent === changes.length,
      'the last part has slow starts',
    );
  }
  t.equal(outcome.type, 'complete');
  t.same(outcome.type === 'complete' ? outcome.update.changes : [], changes);
  t.same(outcome.type === 'complete' ? outcome.update.warmUps : [], warmUps);
  t.equal(nextPartOf({ ...update, changes: [] }, 0).warmUps.length, 1, 'also without any change');
});

t.test('parts of different lists of changes do not form an update', async (t) => {
  const first = configOf(1, ['alpha', 'alpha', 'alpha', 'alpha']);
  const update = updateBetween(first, configOf(3, ['beta', 'beta', 'beta', 'beta']));
  const longer = { ...update, changes: [...update.changes, ...update.changes.slice(-1)] };
  const assembly = createConfigAssembly();
  t.equal(assembly.addPart(partOf(longer, 0, 2)).type, 'unfinished');
  t.equal(assembly.addPart(partOf(update, 2, 2)).type, 'unfit');
});

/*
 * Control machines of an older version send no attributes and list fewer changes. Their updates and those of newer
 * machines must mix neither into a configuration that lacks a route, nor into one with outdated attributes.
 */
t.test(
  'a balancer that older and newer control machines feed in turn gets every route',
  async (t) => {
    const senders = fc.array(fc.boolean(), { minLength: 8, maxLength: 8 });
    const versions = fc.array(services, { minLength: 2, maxLength: 8 });
    fc.assert(
      fc.property(versions, senders, fc.boolean(), (configs, areOlder, requiresAttributes) => {
        const newer = createConfigHistory(undefined);
        const older = createConfigHistory(undefined);
        const table = new RouteTable({ requiresAttributes });
        return configs.every((config, index) => {
          const current = configOf(index + 1, config);
          newer.apply(current);
          older.apply(configOf(index + 1, withoutPriorities(config) ?? []));
          const isOlder = areOlder[index] === true;
          const read = (version: number) =>
            isOlder ? asOlderSender(older.updateFrom(version)) : newer.updateFrom(version);
          if (applyFrom(table, read(index)) === 'unfit') {
            applyFrom(table, read(0));
          }
          const isServed =
            JSON.stringify(servicesOf(table)) === JSON.stringify(withoutPriorities(config));
          return isServed && (isOlder ? knowsNone(table) : isTrue(table, current));

          function isTrue(fed: RouteTable, declared: DeclaredConfig): boolean {
            return hasAttributesOf(fed, declared) || (!requiresAttributes && knowsNone(fed));
          }
        });
      }),
      { seed: 5, numRuns: 500 },
    );
    t.pass();

    function asOlderSender(update: ConfigUpdate | undefined): ConfigUpdate | undefined {
      return (
        update && {
          ...update,
          listsAttributes: undefined,
          changes: update.changes.map(({ host, port, targets }) => ({ host, port, targets })),
        }
      );
    }

    function applyFrom(table: RouteTable, update: ConfigUpdate | undefined): string {
      return update === undefined ? 'none' : table.applyUpdate(update);
    }

    function knowsNone(table: RouteTable): boolean {
      return Array.from({ length: PORTS }, (_, port) => port).every(
        (port) => table.attributesOf(HOST, port) === undefined,
      );
    }
  },
);

t.test('attributes are unknown after an update that older and newer senders shared', async (t) => {
  const update = fullUpdate(configOf(1, ['alpha 1', 'beta 2']));
  const assembly = createConfigAssembly();
  assembly.addPart({ ...partOf(update, 0, 1), listsAttributes: undefined });
  const outcome = assembly.addPart(partOf(update, 1, 1));
  t.match(outcome, { type: 'complete', update: { listsAttributes: false } });
});

t.test(
  'an update is not resumed from a machine of a version that lists other changes',
  async (t) => {
    const base = configOf(1, ['alpha', 'alpha', 'alpha', 'alpha']);
    const next = configOf(2, ['beta', 'beta', 'beta', 'alpha']);
    const routes = next.routes.map((route) => ({ ...route, priority: 2 }));
    const newer = updateBetween(base, { ...next, routes });
    const older = updateBetween(base, next);
    const assembly = createConfigAssembly();
    t.equal(assembly.addPart(partOf(older, 0, 2)).type, 'unfinished');
    t.equal(assembly.addPart(partOf(newer, 2, 2)).type, 'unfit');
  },
);
