/** @file When packets leave towards a link of known rate, in which order, and which are dropped. */
import fc from 'fast-check';
import t from 'tap';
import {
  createPacketScheduler,
  type PacketLabel,
} from '../../../src/registered/egress/packet-scheduler.js';

/** 2 megabits a second. */
const RATE = 250;
const FULL = 1_239;
const SHORT = 60;

interface Sent {
  readonly name: string;
  readonly atMs: number;
}

/** Drives a scheduler as the sender does: a packet leaves at once, or when the timer says. */
function drive() {
  const scheduler = createPacketScheduler<string>({ rateBytesPerMs: RATE });
  const sent: Sent[] = [];
  const dropped: string[] = [];
  let nowMs = 0;
  return { sent, dropped, offer, runUntil, scheduler };

  function offer(name: string, bytes: number, flow: string, content?: string): string {
    const label = (): PacketLabel => ({ flow, content });
    const offered = scheduler.offer(name, bytes, label, nowMs);
    if (offered.type === 'send') {
      sent.push({ name, atMs: nowMs });
    }
    return offered.type === 'dropped' ? offered.reason : offered.type;
  }

  function runUntil(endMs: number): void {
    for (;;) {
      const waitMs = scheduler.waitMs(nowMs);
      if (waitMs === undefined || nowMs + waitMs > endMs) {
        break;
      }
      nowMs += waitMs;
      for (const released of scheduler.release(nowMs)) {
        if (released.type === 'send') {
          sent.push({ name: released.payload, atMs: nowMs });
        } else {
          dropped.push(released.payload);
        }
      }
    }
    nowMs = endMs;
  }
}

t.test('what comes at once leaves no faster than the link carries', async (t) => {
  const { offer, runUntil, sent, scheduler } = drive();
  const count = 40;
  for (let at = 0; at < count; at += 1) {
    offer(`p${at}`, FULL, 'upload', `${at}`);
  }
  runUntil(1_000);
  t.equal(sent.length, count);
  const burstBytes = 5_000 + FULL;
  for (const { atMs } of sent) {
    const bytes = sent.filter((other) => other.atMs <= atMs).length * FULL;
    t.ok(bytes <= burstBytes + RATE * atMs, `${bytes} bytes after ${atMs} ms`);
  }
  const lastMs = sent.at(-1)?.atMs ?? 0;
  t.ok(lastMs < (count * FULL) / RATE / 0.9, `no slower either: ${lastMs} ms`);
  t.equal(scheduler.waitMs(2_000), undefined, 'no timer while idle');
});

t.test('opens and acknowledgements go before bulk', async (t) => {
  const { offer, runUntil, sent } = drive();
  for (let at = 0; at < 30; at += 1) {
    offer(`bulk${at}`, FULL, 'upload', `${at}`);
  }
  t.equal(offer('open', SHORT, 'other'), 'queued');
  runUntil(60);
  const names = sent.map(({ name }) => name);
  t.ok(names.includes('open'), names.join(' '));
  t.notOk(names.includes('bulk20'));
});

t.test('packets of one flow keep their order, short ones too', async (t) => {
  const { offer, runUntil, sent } = drive();
  for (let at = 0; at < 10; at += 1) {
    offer(`p${at}`, FULL, 'upload', `${at}`);
  }
  offer('last', SHORT, 'upload', 'last');
  runUntil(500);
  t.equal(sent.at(-1)?.name, 'last');
});

t.test('one upload does not hold another', async (t) => {
  const { offer, runUntil, sent } = drive();
  for (let at = 0; at < 60; at += 1) {
    offer(`long${at}`, FULL, 'long', `${at}`);
  }
  for (let at = 0; at < 5; at += 1) {
    offer(`brief${at}`, FULL, 'brief', `${at}`);
  }
  runUntil(500);
  const doneMs = sent.find(({ name }) => name === 'brief4')?.atMs ?? Infinity;
  // Half of the link gives 52 ms, and packets leave in bursts of 20 ms; in turn of coming it would be 280 ms.
  t.ok(doneMs < 100, `five packets beside sixty took ${doneMs} ms`);
});

t.test('flows share by bytes, not by packets', async (t) => {
  const { offer, runUntil, sent } = drive();
  for (let at = 0; at < 60; at += 1) {
    offer(`large${at}`, FULL, 'large', `${at}`);
    offer(`small${at}`, FULL / 3, 'small', `${at}`);
  }
  runUntil(100);
  const bytesOf = (start: string) =>
    sent.filter(({ name }) => name.startsWith(start)).length *
    (start === 'large' ? FULL : FULL / 3);
  const ratio = bytesOf('large') / bytesOf('small');
  t.ok(ratio > 0.7 && ratio < 1.5, `${ratio}`);
});

t.test('a retransmission takes the place of what still waits', async (t) => {
  const { offer, runUntil, sent, scheduler } = drive();
  for (let at = 0; at < 20; at += 1) {
    offer(`p${at}`, FULL, 'upload', `${at}`);
  }
  const before = scheduler.queuedBytes;
  t.equal(offer('p15 again', FULL, 'upload', '15'), 'merged');
  t.equal(scheduler.queuedBytes, before);
  t.equal(offer('p15 of another', FULL, 'other', '15'), 'queued', 'another flow is another packet');
  runUntil(500);
  const names = sent.map(({ name }) => name);
  t.notOk(names.includes('p15'));
  t.ok(names.includes('p15 again'));
});

t.test('a full queue drops from the flow that fills it', async (t) => {
  const { offer } = drive();
  let outcome = '';
  for (let at = 0; outcome !== 'queue-full' && at < 1_000; at += 1) {
    outcome = offer(`p${at}`, FULL, 'greedy', `${at}`);
  }
  t.equal(outcome, 'queue-full');
  t.equal(offer('modest', FULL, 'modest', '1'), 'queued');
  t.equal(offer('open', SHORT, 'opening'), 'queued');
});

t.test('what waited while the process stood still is dropped', async (t) => {
  const scheduler = createPacketScheduler<string>({ rateBytesPerMs: RATE });
  const label = (): PacketLabel => ({ flow: 'upload', content: undefined });
  for (let at = 0; at < 10; at += 1) {
    scheduler.offer(`p${at}`, FULL, label, 0);
  }
  const released = scheduler.release(4_000);
  t.ok(released.length > 0);
  t.ok(released.every(({ type }) => type === 'dropped'));
  t.equal(scheduler.queuedBytes, 0);
});

t.test('bytes that other sockets send are counted', async (t) => {
  const one = createPacketScheduler<string>({ rateBytesPerMs: RATE });
  const label = (): PacketLabel => ({ flow: 'upload', content: undefined });
  one.charge(25_000, 0);
  t.equal(one.offer('p', FULL, label, 0).type, 'queued');
  t.ok((one.waitMs(0) ?? 0) > 80, `${one.waitMs(0)}`);
});

t.test('whatever comes, bytes stay within the rate and nothing is lost from sight', async () => {
  const packets = fc.array(
    fc.record({
      flow: fc.constantFrom('a', 'b', 'c'),
      bytes: fc.integer({ min: 40, max: 1_239 }),
      gapMs: fc.integer({ min: 0, max: 30 }),
    }),
    { maxLength: 80 },
  );
  fc.assert(
    fc.property(packets, (list) => {
      const { offer, runUntil, sent, dropped, scheduler } = drive();
      let nowMs = 0;
      let refused = 0;
      list.forEach(({ flow, bytes, gapMs }, at) => {
        nowMs += gapMs;
        runUntil(nowMs);
        refused += Number(offer(`${at}`, bytes, flow, `${at}`) === 'queue-full');
      });
      runUntil(nowMs + 5_000);
      const isAllSeen = sent.length + dropped.length + refused === list.length;
      const totalBytes = sent.reduce((sum, { name }) => sum + (list[Number(name)]?.bytes ?? 0), 0);
      const lastMs = sent.at(-1)?.atMs ?? 0;
      return isAllSeen && scheduler.queuedBytes === 0 && totalBytes <= RATE * lastMs + 6_300;
    }),
    { seed: 7, numRuns: 200 },
  );
});

t.test('a request of one packet and a short upload end before a long one', async (t) => {
  const { offer, runUntil, sent } = drive();
  for (let at = 0; at < 120; at += 1) {
    offer(`long${at}`, FULL, 'long', `${at}`);
  }
  runUntil(100);
  for (let at = 0; at < 12; at += 1) {
    offer(`short${at}`, FULL, 'short', `${at}`);
  }
  offer('request', 900, 'request', '0');
  runUntil(1_000);
  const doneMs = (name: string) => sent.find((packet) => packet.name === name)?.atMs ?? Infinity;
  t.ok(doneMs('request') < 130, `one packet after ${doneMs('request') - 100} ms`);
  // Alone it takes 60 ms; in equal turns it would take 120.
  t.ok(doneMs('short11') - 100 < 100, `twelve packets after ${doneMs('short11') - 100} ms`);
  const meanwhile = sent.filter(
    ({ name, atMs }) => name.startsWith('long') && atMs > 100 && atMs <= doneMs('short11'),
  );
  t.ok(meanwhile.length >= 3, `the long one goes on: ${meanwhile.length} packets`);
});

t.test('new flows that alone would fill the link do not starve an old one', async (t) => {
  const { offer, runUntil, sent } = drive();
  for (let at = 0; at < 60; at += 1) {
    offer(`old${at}`, FULL, 'old', `${at}`);
  }
  for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
    runUntil(nowMs);
    offer(`new${nowMs}`, FULL, `new${nowMs}`, '0');
    offer(`also${nowMs}`, FULL, `new${nowMs}`, '1');
  }
  const times = sent.filter(({ name }) => name.startsWith('old')).map(({ atMs }) => atMs);
  const gaps = times.slice(1).map((atMs, at) => atMs - (times[at] ?? 0));
  t.ok(Math.max(...gaps) < 200, `at most ${Math.max(...gaps)} ms between two of its packets`);
  t.ok((times.at(-1) ?? 0) > 900, `until ${times.at(-1)}`);
});

t.test('the windows of fourteen uploads at once wait without a loss', async (t) => {
  const { offer, runUntil, sent, dropped } = drive();
  for (let flow = 0; flow < 14; flow += 1) {
    for (let at = 0; at < 16; at += 1) {
      t.not(offer(`${flow}/${at}`, FULL, `flow${flow}`, `${at}`), 'queue-full');
    }
  }
  // Clients repeat what is not acknowledged after 200, 600 and 1,400 ms; copies take the places of what waits.
  for (const atMs of [200, 600]) {
    runUntil(atMs);
    const left = new Set(sent.map(({ name }) => name));
    for (let flow = 0; flow < 14; flow += 1) {
      for (let at = 0; at < 16; at += 1) {
        if (!left.has(`${flow}/${at}`)) {
          t.equal(offer(`${flow}/${at}`, FULL, `flow${flow}`, `${at}`), 'merged');
        }
      }
    }
  }
  runUntil(2_000);
  t.equal(sent.length, 14 * 16);
  t.same(dropped, []);
});

t.test('a burst that came in any order leaves in the order of its stream', async (t) => {
  const scheduler = createPacketScheduler<number>({ rateBytesPerMs: RATE });
  const order = [3, 9, 0, 7, 1, 15, 4, 8, 2, 14, 6, 5, 13, 10, 12, 11];
  // The stream passes the end of its 32 bits.
  const positionOf = (at: number) => (0xffffffff - 5 * FULL + at * FULL) >>> 0;
  scheduler.charge(50_000, 0);
  for (const at of order) {
    const label = () => ({ flow: 'upload', content: `${at}`, position: positionOf(at) });
    t.equal(scheduler.offer(at, FULL, label, 0).type, 'queued');
  }
  const left: number[] = [];
  for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
    left.push(...scheduler.release(nowMs).map(({ payload }) => payload));
  }
  t.same(
    left,
    [...order].sort((one, other) => one - other),
  );
});

t.test('while packets wait, a copy of one that has just left is not sent again', async (t) => {
  const { offer, runUntil, sent } = drive();
  for (let at = 0; at < 40; at += 1) {
    offer(`p${at}`, FULL, 'upload', `${at}`);
  }
  runUntil(100);
  const names = sent.map(({ name }) => name);
  t.ok(names.includes('p10') && !names.includes('p39'), 'some have left');
  t.equal(offer('p10 again', FULL, 'upload', '10'), 'merged');
  runUntil(150);
  for (let at = 40; at < 130; at += 1) {
    offer(`p${at}`, FULL, 'other', `${at}`);
  }
  runUntil(420);
  t.equal(offer('p10 at last', FULL, 'upload', '10'), 'queued', 'it may have been lost');
});

t.test('a connection is not held for what it was served long ago', async (t) => {
  const { offer, runUntil, sent } = drive();
  for (let at = 0; at < 60; at += 1) {
    offer(`old${at}`, 900, 'connection', `${at}`);
  }
  runUntil(60_000);
  for (let at = 0; at < 30; at += 1) {
    offer(`upload${at}`, FULL, 'upload', `${at}`);
  }
  offer('request', 900, 'connection', '60');
  runUntil(61_000);
  const position = sent.findIndex(({ name }) => name === 'request') - 60;
  t.ok(position < 10, `${position} packets of an upload before a single request`);
});
