/**
 * @file An upload through a balancer whose link is slow: a client has sixteen packets under way, and what
 * the link loses costs it a retransmission timer.
 */
import t from 'tap';
import { seededRandom } from '../../../src/shared/common/random.js';
import { createPacedSender } from '../../../src/registered/daemon/paced-sender.js';
import { VirtualClock } from '../../../src/proof/virtual/virtual-clock.js';
import { VirtualWires } from '../../../src/proof/virtual/virtual-wires.js';

const BALANCER = { host: '10.0.3.1', port: 8_000 };
const BACKEND = { host: '10.0.2.1', port: 9_000 };
const CLIENT = { host: '100.64.0.1', port: 20_000 };
/** 2 megabits a second. */
const RATE = 250;
const QUEUE_BYTES = 8_000;
const PACKET_BYTES = 1_239;
const WINDOW = 16;
const PACKETS = 65;
const FIRST_RESEND_MS = 200;
const LONGEST_RESEND_MS = 1_600;

interface Upload {
  readonly doneAtMs: number;
  readonly lostOnFullLinks: number;
}

/** A client, a balancer that passes on what comes, a back end that acknowledges each packet. */
async function upload(rateBytesPerMs: number | undefined, uploads: number): Promise<Upload> {
  const clock = new VirtualClock();
  const wires = new VirtualWires(clock, seededRandom(1));
  wires.limitLink(BALANCER.host, { bytesPerMs: RATE, queueBytes: QUEUE_BYTES });
  const sender = createPacedSender({
    rateBytesPerMs,
    nowMs: () => clock.nowMs,
    after: (delayMs, run) => clock.after(delayMs, run),
    send: (datagram, to) => wires.sendDatagram(BALANCER.host, to, datagram),
    onDropped: () => undefined,
  });
  wires.onDatagram(BALANCER, (bytes) => {
    const { flow, number } = read(bytes);
    sender.send(bytes, BACKEND, () => ({ flow: `${flow}`, content: `${number}` }));
  });
  wires.onDatagram(BACKEND, (bytes) => wires.sendDatagram(BACKEND.host, CLIENT, bytes));
  const flows = Array.from({ length: uploads }, (_, flow) => startClient(clock, wires, flow));
  wires.onDatagram(CLIENT, (bytes) => flows[read(bytes).flow]?.acknowledge(read(bytes).number));
  await clock.runUntil(60_000);
  const doneAtMs = Math.max(...flows.map((client) => client.doneAtMs));
  return { doneAtMs, lostOnFullLinks: wires.lostOnFullLinks };
}

function packet(flow: number, number: number): Buffer {
  const bytes = Buffer.alloc(PACKET_BYTES);
  bytes.writeUInt16BE(flow, 0);
  bytes.writeUInt16BE(number, 2);
  return bytes;
}

function read(bytes: Uint8Array): { readonly flow: number; readonly number: number } {
  const view = Buffer.from(bytes);
  return { flow: view.readUInt16BE(0), number: view.readUInt16BE(2) };
}

function startClient(clock: VirtualClock, wires: VirtualWires, flow: number) {
  const waiting = new Set<number>();
  let next = 0;
  let taken = 0;
  const client = { doneAtMs: Number.POSITIVE_INFINITY, acknowledge };
  fill();
  return client;

  function fill(): void {
    while (waiting.size < WINDOW && next < PACKETS) {
      waiting.add(next);
      send(next, FIRST_RESEND_MS);
      next += 1;
    }
  }

  function send(number: number, resendMs: number): void {
    if (waiting.has(number)) {
      wires.sendDatagram(CLIENT.host, BALANCER, packet(flow, number));
      clock.after(resendMs, () => send(number, Math.min(LONGEST_RESEND_MS, 2 * resendMs)));
    }
  }

  function acknowledge(number: number): void {
    if (waiting.delete(number)) {
      taken += 1;
      client.doneAtMs = taken === PACKETS ? clock.nowMs : client.doneAtMs;
      fill();
    }
  }
}

t.test('a burst beyond the link is lost without pacing, and carried with it', async (t) => {
  const needsMs = (PACKETS * PACKET_BYTES) / RATE;
  const unpaced = await upload(undefined, 1);
  t.ok(unpaced.lostOnFullLinks > 0, 'the link loses what does not fit');
  t.ok(unpaced.doneAtMs > 3 * needsMs, `without pacing ${unpaced.doneAtMs} ms for ${needsMs} ms`);
  const paced = await upload(RATE, 1);
  t.equal(paced.lostOnFullLinks, 0);
  t.ok(paced.doneAtMs < 1.25 * needsMs, `paced ${paced.doneAtMs} ms for ${needsMs} ms`);
});

t.test(
  'three uploads at once share the link, though each waits beyond its first timer',
  async (t) => {
    const needsMs = (3 * PACKETS * PACKET_BYTES) / RATE;
    const paced = await upload(RATE, 3);
    t.equal(paced.lostOnFullLinks, 0);
    t.ok(paced.doneAtMs < 1.4 * needsMs, `paced ${paced.doneAtMs} ms for ${needsMs} ms`);
  },
);

t.test('mutant: a sender that takes the link to carry twice as much', async (t) => {
  const { lostOnFullLinks } = await upload(2 * RATE, 1);
  t.ok(lostOnFullLinks > 0);
});
