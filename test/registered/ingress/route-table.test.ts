/** @file Guards against shares that deviate from the weights, and against older configurations that replace newer ones. */
import t from 'tap';
import { fullUpdate, type ConfigUpdate } from '../../../src/registered/declared/config-update.js';
import { RouteTable } from '../../../src/registered/ingress/route-table.js';

const HOST = 0xc6120001;
const PORT = 443;

function config(version: number, weights: readonly number[]): ConfigUpdate {
  const services = weights.map((_, index) => ({ name: `service-${index}` }));
  return fullUpdate({
    version,
    routes: [
      {
        name: 'route',
        host: '198.18.0.1',
        port: PORT,
        targets: weights.map((weight, index) => ({ service: `service-${index}`, weight })),
        kind: 'repeatable',
        timeoutMs: 1_000,
      },
    ],
    services,
    idleTimeoutMs: 15_000,
  });
}

t.test('each target is always within one flow of its share', async (t) => {
  const weights = [90, 7, 3];
  const total = 100;
  const table = new RouteTable();
  table.applyUpdate(config(1, weights));
  const taken = new Map<string, number>();
  for (let flows = 1; flows <= 500; flows += 1) {
    const service = table.nextService(HOST, PORT) ?? '';
    taken.set(service, (taken.get(service) ?? 0) + 1);
    const worst = weights.map((weight, index) =>
      Math.abs((taken.get(`service-${index}`) ?? 0) - (flows * weight) / total),
    );
    if (Math.max(...worst) > 1) {
      t.fail(`after ${flows} flows: ${worst.join(' ')}`);
      return;
    }
  }
  t.pass();
});

t.test('weights whose sum is no finite number keep their shares', async (t) => {
  const table = new RouteTable();
  const largest = Number.MAX_VALUE;
  table.applyUpdate(config(1, [largest, largest, largest / 2]));
  const services = Array.from({ length: 50 }, () => table.nextService(HOST, PORT));
  t.same(
    [0, 1, 2].map((index) => services.filter((one) => one === `service-${index}`).length),
    [20, 20, 10],
  );
  const same = config(2, [largest, largest, largest / 2]);
  table.applyUpdate(same);
  t.equal(table.nextService(HOST, PORT), 'service-0', 'the same weights go on where they were');
});

t.test('a target with weight 0 gets no flows', async (t) => {
  const table = new RouteTable();
  table.applyUpdate(config(1, [1, 0]));
  const services = Array.from({ length: 20 }, () => table.nextService(HOST, PORT));
  t.same(new Set(services), new Set(['service-0']));
});

t.test('an update that is not newer is ignored', async (t) => {
  const table = new RouteTable();
  t.equal(table.applyUpdate(config(5, [1])), 'applied');
  t.equal(table.applyUpdate(config(4, [0, 1])), 'known');
  t.equal(table.applyUpdate(config(5, [0, 1])), 'known');
  t.equal(table.nextService(HOST, PORT), 'service-0');
  t.equal(table.nextService(HOST, PORT + 1), undefined);
});
