/** @file Guards against balancers that disagree on the holders of an open, and against holders that are unevenly loaded. */
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

t.test('all balancers choose the same holders; a holder omits itself', async (t) => {
  const outside = createPeerTable('outside');
  outside.applyChanges(all, []);
  for (let key = 0; key < 50; key += 1) {
    const holders = namesOf(outside.holdersOf(`flow-${key}`, ASKED_HOLDERS));
    t.equal(holders.length, ASKED_HOLDERS);
    for (const number of [1, 40, 88]) {
      const fromHolder = namesOf(tableOf(number).holdersOf(`flow-${key}`, ASKED_HOLDERS));
      t.same(
        fromHolder,
        holders.filter((name) => name !== `balancer-${number}`),
      );
    }
  }
});

t.test('notified holders are among the queried ones, even if one has been removed', async (t) => {
  const placing = tableOf(1);
  const asking = tableOf(2);
  for (let key = 0; key < KEYS; key += 1) {
    const notified = namesOf(placing.holdersOf(`flow-${key}`, NOTIFIED_HOLDERS));
    const [lost = ''] = notified;
    asking.applyChanges(all, []);
    asking.applyChanges([], [lost]);
    const asked = new Set([
      ...namesOf(asking.holdersOf(`flow-${key}`, ASKED_HOLDERS)),
      'balancer-2',
    ]);
    const remaining = notified.filter((name) => name !== lost);
    if (!remaining.every((name) => asked.has(name))) {
      t.fail(`flow-${key}: notified ${notified.join(' ')}, queried ${[...asked].join(' ')}`);
    }
  }
  t.pass();
});

t.test('holders are spread over all balancers', async (t) => {
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

t.test('balancers are added and removed', async (t) => {
  const table = createPeerTable('balancer-1');
  t.equal(table.size, 0);
  t.same(table.holdersOf('flow', ASKED_HOLDERS), []);
  table.applyChanges([infoOf(1), infoOf(2)], []);
  t.equal(table.size, 1, 'without itself');
  table.applyChanges([infoOf(3)], ['balancer-2']);
  t.same(namesOf(table.holdersOf('flow', ASKED_HOLDERS)), ['balancer-3']);
});
