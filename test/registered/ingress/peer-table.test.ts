/** @file Which balancers keep the memory of an open: the same for all, few, and spread over all. */
import t from 'tap';
import {
  ASKED_HOLDERS,
  createPeerTable,
  NOTIFIED_HOLDERS,
} from '../../../src/registered/ingress/peer-table.js';

const BALANCERS = 88;
const KEYS = 2_000;

function infoOf(number: number) {
  const name = `balancer-${number}`;
  return { name, zone: 'zone-a', peerAddress: { host: `10.0.3.${number}`, port: 7_700 } };
}

const all = Array.from({ length: BALANCERS }, (_, index) => infoOf(index + 1));

function tableOf(ownNumber: number, balancers = all) {
  const table = createPeerTable(`balancer-${ownNumber}`);
  table.applyChanges(balancers, []);
  return table;
}

function namesOf(balancers: readonly { readonly name: string }[]): string[] {
  return balancers.map(({ name }) => name);
}

t.test('all balancers choose the same holders; one of them leaves itself out', async (t) => {
  const outside = createPeerTable('outside');
  outside.applyChanges(all, []);
  for (let key = 0; key < 50; key += 1) {
    const holders = namesOf(outside.holdersOf(`flow-${key}`, ASKED_HOLDERS));
    t.equal(holders.length, ASKED_HOLDERS);
    for (const number of [1, 40, 88]) {
      const seen = namesOf(tableOf(number).holdersOf(`flow-${key}`, ASKED_HOLDERS));
      t.same(
        seen,
        holders.filter((name) => name !== `balancer-${number}`),
      );
    }
  }
});

t.test('those that are told are among those that are asked, also when one has gone', async (t) => {
  const placing = tableOf(1);
  const asking = tableOf(2);
  for (let key = 0; key < KEYS; key += 1) {
    const told = namesOf(placing.holdersOf(`flow-${key}`, NOTIFIED_HOLDERS));
    const [lost = ''] = told;
    asking.applyChanges(all, []);
    asking.applyChanges([], [lost]);
    const asked = new Set([
      ...namesOf(asking.holdersOf(`flow-${key}`, ASKED_HOLDERS)),
      'balancer-2',
    ]);
    const left = told.filter((name) => name !== lost);
    if (!left.every((name) => asked.has(name))) {
      t.fail(`flow-${key}: told ${told.join(' ')}, asked ${[...asked].join(' ')}`);
    }
  }
  t.pass();
});

t.test('the memory is spread over all balancers', async (t) => {
  const table = createPeerTable('outside');
  table.applyChanges(all, []);
  const counts = new Map<string, number>();
  for (let key = 0; key < KEYS; key += 1) {
    for (const name of namesOf(table.holdersOf(`flow-${key}`, NOTIFIED_HOLDERS))) {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  const mean = (KEYS * NOTIFIED_HOLDERS) / BALANCERS;
  t.equal(counts.size, BALANCERS);
  t.ok(Math.max(...counts.values()) < 2 * mean);
});

t.test('balancers come and go', async (t) => {
  const table = createPeerTable('balancer-1');
  t.equal(table.size, 0);
  t.same(table.holdersOf('flow', ASKED_HOLDERS), []);
  table.applyChanges([infoOf(1), infoOf(2)], []);
  t.equal(table.size, 1, 'without itself');
  table.applyChanges([infoOf(3)], ['balancer-2']);
  t.same(namesOf(table.holdersOf('flow', ASKED_HOLDERS)), ['balancer-3']);
});
