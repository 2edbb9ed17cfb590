/** @file The scheduler keeps to the rate of the link, orders packets fairly, and drops only when full or late. */
import fc from 'fast-check';
import t from 'tap';
import {
  createPacketScheduler,
  type PacketLabel,
} from '../../../src/registered/egress/packet-scheduler.js';

/** 2 Mbit/s. */
const RATE_BYTES_PER_MS = 250;
const FULL_BYTES = 1_239;
const SHORT_BYTES = 60;

interface Sent {
  readonly name: string;
  readonly atMs: number;
}

/** Drives a scheduler like the paced sender: packets leave immediately or on the timer. */
function createDriver() {
  const scheduler = createPacketScheduler<string>({ rateBytesPerMs: RATE_BYTES_PER_MS });
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

t.test('a burst leaves at the rate of the link', async (t) => {
  const { offer, runUntil, sent, scheduler } = createDriver();
  const count = 40;
  for (let index = 0; index < count; index += 1) {
    offer(`p${index}`, FULL_BYTES, 'upload', `${index}`);
  }
  runUntil(1_000);
  t.equal(sent.length, count);
  const burstBytes = 5_000 + FULL_BYTES;
  for (const { atMs } of sent) {
    const bytes = sent.filter((other) => other.atMs <= atMs).length * FULL_BYTES;
    t.ok(bytes <= burstBytes + RATE_BYTES_PER_MS * atMs, `${bytes} bytes after ${atMs} ms`);
  }
  const lastMs = sent.at(-1)?.atMs ?? 0;
  t.ok(
    lastMs < (count * FULL_BYTES) / RATE_BYTES_PER_MS / 0.9,
    `not slower than the rate: ${lastMs} ms`,
  );
  t.equal(scheduler.waitMs(2_000), undefined, 'no timer while idle');
});

t.test('short packets go before bulk data', async (t) => {
  const { offer, runUntil, sent } = createDriver();
  for (let index = 0; index < 30; index += 1) {
    offer(`bulk${index}`, FULL_BYTES, 'upload', `${index}`);
  }
  t.equal(offer('open', SHORT_BYTES, 'other'), 'queued');
  runUntil(60);
  const names = sent.map(({ name }) => name);
  t.ok(names.includes('open'), names.join(' '));
  t.notOk(names.includes('bulk20'));
});

t.test('packets of one flow keep their order, including short ones', async (t) => {
  const { offer, runUntil, sent } = createDriver();
  for (let index = 0; index < 10; index += 1) {
    offer(`p${index}`, FULL_BYTES, 'upload', `${index}`);
  }
  offer('last', SHORT_BYTES, 'upload', 'last');
  runUntil(500);
  t.equal(sent.at(-1)?.name, 'last');
});

t.test('a long upload does not delay a short one', async (t) => {
  const { offer, runUntil, sent } = createDriver();
  for (let index = 0; index < 60; index += 1) {
    offer(`long${index}`, FULL_BYTES, 'long', `${index}`);
  }
  for (let index = 0; index < 5; index += 1) {
    offer(`brief${index}`, FULL_BYTES, 'brief', `${index}`);
  }
  runUntil(500);
  const doneMs = sent.find(({ name }) => name === 'brief4')?.atMs ?? Infinity;
  // Half of the link gives 52 ms, and packets leave in bursts of 20 ms; first come, first served would take 280 ms.
  t.ok(doneMs < 100, `five packets beside sixty took ${doneMs} ms`);
});

t.test('flows share by bytes, not by packets', async (t) => {
  const { offer, runUntil, sent } = createDriver();
  for (let index = 0; index < 60; index += 1) {
    offer(`large${index}`, FULL_BYTES, 'large', `${index}`);
    offer(`small${index}`, FULL_BYTES / 3, 'small', `${index}`);
  }
  runUntil(100);
  const bytesOf = (start: string) =>
    sent.filter(({ name }) => name.startsWith(start)).length *
    (start === 'large' ? FULL_BYTES : FULL_BYTES / 3);
  const ratio = bytesOf('large') / bytesOf('small');
  t.ok(ratio > 0.7 && ratio < 1.5, `${ratio}`);
});

t.test('a retransmission replaces the queued copy', async (t) => {
  const { offer, runUntil, sent, scheduler } = createDriver();
  for (let index = 0; index < 20; index += 1) {
    offer(`p${index}`, FULL_BYTES, 'upload', `${index}`);
  }
  const bytesBefore = scheduler.queuedBytes;
  t.equal(offer('p15 again', FULL_BYTES, 'upload', '15'), 'merged');
  t.equal(scheduler.queuedBytes, bytesBefore);
  t.equal(offer('p15 of another', FULL_BYTES, 'other', '15'), 'queued', 'not merged across flows');
  runUntil(500);
  const names = sent.map(({ name }) => name);
  t.notOk(names.includes('p15'));
  t.ok(names.includes('p15 again'));
});

t.test('a full queue drops from the flow that fills it', async (t) => {
  const { offer } = createDriver();
  let outcome = '';
  for (let index = 0; outcome !== 'queue-full' && index < 1_000; index += 1) {
    outcome = offer(`p${index}`, FULL_BYTES, 'greedy', `${index}`);
  }
  t.equal(outcome, 'queue-full');
  t.equal(offer('modest', FULL_BYTES, 'modest', '1'), 'queued');
  t.equal(offer('open', SHORT_BYTES, 'opening'), 'queued');
});

t.test('packets that became too old while the process was paused are dropped', async (t) => {
  const scheduler = createPacketScheduler<string>({ rateBytesPerMs: RATE_BYTES_PER_MS });
  const label = (): PacketLabel => ({ flow: 'upload', content: undefined });
  for (let index = 0; index < 10; index += 1) {
    scheduler.offer(`p${index}`, FULL_BYTES, label, 0);
  }
  const released = scheduler.release(4_000);
  t.ok(released.length > 0);
  t.ok(released.every(({ type }) => type === 'dropped'));
  t.equal(scheduler.queuedBytes, 0);
});

t.test('bytes sent by other sockets are charged', async (t) => {
  const scheduler = createPacketScheduler<string>({ rateBytesPerMs: RATE_BYTES_PER_MS });
  const label = (): PacketLabel => ({ flow: 'upload', content: undefined });
  scheduler.charge(25_000, 0);
  t.equal(scheduler.offer('p', FULL_BYTES, label, 0).type, 'queued');
  t.ok((scheduler.waitMs(0) ?? 0) > 80, `${scheduler.waitMs(0)}`);
});

t.test('for any input, bytes stay within the rate and every packet is accounted for', async () => {
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
      const { offer, runUntil, sent, dropped, scheduler } = createDriver();
      let nowMs = 0;
      let refusedCount = 0;
      list.forEach(({ flow, bytes, gapMs }, index) => {
        nowMs += gapMs;
        runUntil(nowMs);
        refusedCount += Number(offer(`${index}`, bytes, flow, `${index}`) === 'queue-full');
      });
      runUntil(nowMs + 5_000);
      const isAllAccountedFor = sent.length + dropped.length + refusedCount === list.length;
      const totalBytes = sent.reduce((sum, { name }) => sum + (list[Number(name)]?.bytes ?? 0), 0);
      const lastMs = sent.at(-1)?.atMs ?? 0;
      return (
        isAllAccountedFor &&
        scheduler.queuedBytes === 0 &&
        totalBytes <= RATE_BYTES_PER_MS * lastMs + 6_300
      );
    }),
    { seed: 7, numRuns: 200 },
  );
});

t.test('a request of one packet and a short upload finish before a long one', async (t) => {
  const { offer, runUntil, sent } = createDriver();
  for (let index = 0; index < 120; index += 1) {
    offer(`long${index}`, FULL_BYTES, 'long', `${index}`);
  }
  runUntil(100);
  for (let index = 0; index < 12; index += 1) {
    offer(`short${index}`, FULL_BYTES, 'short', `${index}`);
  }
  offer('request', 900, 'request', '0');
  runUntil(1_000);
  const doneMs = (name: string) => sent.find((packet) => packet.name === name)?.atMs ?? Infinity;
  t.ok(doneMs('request') < 130, `one packet after ${doneMs('request') - 100} ms`);
  // Alone it takes 60 ms; with round robin it would take 120 ms.
  t.ok(doneMs('short11') - 100 < 100, `twelve packets after ${doneMs('short11') - 100} ms`);
  const longMeanwhile = sent.filter(
    ({ name, atMs }) => name.startsWith('long') && atMs > 100 && atMs <= doneMs('short11'),
  );
  t.ok(longMeanwhile.length >= 3, `the long upload continues: ${longMeanwhile.length} packets`);
});

t.test('new flows that would fill the link do not starve an old one', async (t) => {
  const { offer, runUntil, sent } = createDriver();
  for (let index = 0; index < 60; index += 1) {
    offer(`old${index}`, FULL_BYTES, 'old', `${index}`);
  }
  for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
    runUntil(nowMs);
    offer(`new${nowMs}`, FULL_BYTES, `new${nowMs}`, '0');
    offer(`also${nowMs}`, FULL_BYTES, `new${nowMs}`, '1');
  }
  const times = sent.filter(({ name }) => name.startsWith('old')).map(({ atMs }) => atMs);
  const gaps = times.slice(1).map((atMs, index) => atMs - (times[index] ?? 0));
  t.ok(Math.max(...gaps) < 200, `at most ${Math.max(...gaps)} ms between two of its packets`);
  t.ok((times.at(-1) ?? 0) > 900, `last packet at ${times.at(-1)} ms`);
});

t.test('the windows of fourteen concurrent uploads are queued without loss', async (t) => {
  const { offer, runUntil, sent, dropped } = createDriver();
  for (let flow = 0; flow < 14; flow += 1) {
    for (let index = 0; index < 16; index += 1) {
      t.not(offer(`${flow}/${index}`, FULL_BYTES, `flow${flow}`, `${index}`), 'queue-full');
    }
  }
  // Clients retransmit after 200, 600 and 1,400 ms; copies replace queued packets.
  for (const atMs of [200, 600]) {
    runUntil(atMs);
    const sentNames = new Set(sent.map(({ name }) => name));
    for (let flow = 0; flow < 14; flow += 1) {
      for (let index = 0; index < 16; index += 1) {
        if (!sentNames.has(`${flow}/${index}`)) {
          t.equal(offer(`${flow}/${index}`, FULL_BYTES, `flow${flow}`, `${index}`), 'merged');
        }
      }
    }
  }
  runUntil(2_000);
  t.equal(sent.length, 14 * 16);
  t.same(dropped, []);
});

t.test('a reordered burst leaves in stream order', async (t) => {
  const scheduler = createPacketScheduler<number>({ rateBytesPerMs: RATE_BYTES_PER_MS });
  const order = [3, 9, 0, 7, 1, 15, 4, 8, 2, 14, 6, 5, 13, 10, 12, 11];
  // The position wraps around at 32 bits.
  const positionOf = (index: number) => (0xffffffff - 5 * FULL_BYTES + index * FULL_BYTES) >>> 0;
  scheduler.charge(50_000, 0);
  for (const index of order) {
    const label = () => ({ flow: 'upload', content: `${index}`, position: positionOf(index) });
    t.equal(scheduler.offer(index, FULL_BYTES, label, 0).type, 'queued');
  }
  const sentOrder: number[] = [];
  for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
    sentOrder.push(...scheduler.release(nowMs).map(({ payload }) => payload));
  }
  t.same(
    sentOrder,
    [...order].sort((one, other) => one - other),
  );
});

t.test('while packets are queued, a copy of one that was just sent is suppressed', async (t) => {
  const { offer, runUntil, sent } = createDriver();
  for (let index = 0; index < 40; index += 1) {
    offer(`p${index}`, FULL_BYTES, 'upload', `${index}`);
  }
  runUntil(100);
  const names = sent.map(({ name }) => name);
  t.ok(names.includes('p10') && !names.includes('p39'), 'some packets have been sent');
  t.equal(offer('p10 again', FULL_BYTES, 'upload', '10'), 'merged');
  runUntil(150);
  for (let index = 40; index < 130; index += 1) {
    offer(`p${index}`, FULL_BYTES, 'other', `${index}`);
  }
  runUntil(420);
  t.equal(
    offer('p10 at last', FULL_BYTES, 'upload', '10'),
    'queued',
    'a later copy is sent, since the first may be lost',
  );
});

t.test('an idle connection is not penalized for bytes sent long ago', async (t) => {
  const { offer, runUntil, sent } = createDriver();
  for (let index = 0; index < 60; index += 1) {
    offer(`old${index}`, 900, 'connection', `${index}`);
  }
  runUntil(60_000);
  for (let index = 0; index < 30; index += 1) {
    offer(`upload${index}`, FULL_BYTES, 'upload', `${index}`);
  }
  offer('request', 900, 'connection', '60');
  runUntil(61_000);
  const position = sent.findIndex(({ name }) => name === 'request') - 60;
  t.ok(position < 10, `${position} packets of the upload before the request`);
});
