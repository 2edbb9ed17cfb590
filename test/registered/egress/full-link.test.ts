/**
 * @file Uploads through a balancer with a slow link: without pacing, packets are lost in the link's queue and each loss
 * costs a retransmission timeout.
 */
import t from 'tap';
import { seededRandom } from '../../../src/shared/common/random.js';
import { createPacedSender } from '../../../src/registered/daemon/paced-sender.js';
import { VirtualClock } from '../../../src/proof/virtual/virtual-clock.js';
import { VirtualWires } from '../../../src/proof/virtual/virtual-wires.js';

const BALANCER = { host: '10.0.3.1', port: 8_000 };
const BACKEND = { host: '10.0.2.1', port: 9_000 };
const CLIENT = { host: '100.64.0.1', port: 20_000 };
/** 2 Mbit/s. */
const RATE_BYTES_PER_MS = 250;
const QUEUE_BYTES = 8_000;
const PACKET_BYTES = 1_239;
const WINDOW_PACKETS = 16;
const UPLOAD_PACKETS = 65;
const FIRST_RESEND_MS = 200;
const MAX_RESEND_MS = 1_600;

interface Upload {
  readonly doneAtMs: number;
  readonly lostOnFullLinks: number;
}

/** Simulates clients, a forwarding balancer and a back end that acknowledges each packet. */
async function upload(rateBytesPerMs: number | undefined, flowCount: number): Promise<Upload> {
  const clock = new VirtualClock();
  const wires = new VirtualWires(clock, seededRandom(1));
  wires.limitLink(BALANCER.host, { bytesPerMs: RATE_BYTES_PER_MS, queueBytes: QUEUE_BYTES });
  const sender = createPacedSender({
    rateBytesPerMs,
    nowMs: () => clock.nowMs,
    after: (delayMs, run) => clock.after(delayMs, run),
    send: (datagram, to) => wires.sendDatagram(BALANCER.host, to, datagram),
    onDropped: () => undefined,
  });
  wires.onDatagram(BALANCER, (bytes) => {
    const { flow, number } = decode(bytes);
    sender.send(bytes, BACKEND, () => ({ flow: `${flow}`, content: `${number}` }));
  });
  wires.onDatagram(BACKEND, (bytes) => wires.sendDatagram(BACKEND.host, CLIENT, bytes));
  const flows = Array.from({ length: flowCount }, (_, flow) => startClient(clock, wires, flow));
  wires.onDatagram(CLIENT, (bytes) => flows[decode(bytes).flow]?.acknowledge(decode(bytes).number));
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

function decode(bytes: Uint8Array): { readonly flow: number; readonly number: number } {
  const view = Buffer.from(bytes);
  return { flow: view.readUInt16BE(0), number: view.readUInt16BE(2) };
}

function startClient(clock: VirtualClock, wires: VirtualWires, flow: number) {
  const waiting = new Set<number>();
  let next = 0;
  let acknowledgedCount = 0;
  const client = { doneAtMs: Number.POSITIVE_INFINITY, acknowledge };
  fill();
  return client;

  function fill(): void {
    while (waiting.size < WINDOW_PACKETS && next < UPLOAD_PACKETS) {
      waiting.add(next);
      send(next, FIRST_RESEND_MS);
      next += 1;
    }
  }

  function send(number: number, resendMs: number): void {
    if (waiting.has(number)) {
      wires.sendDatagram(CLIENT.host, BALANCER, packet(flow, number));
      clock.after(resendMs, () => send(number, Math.min(MAX_RESEND_MS, 2 * resendMs)));
    }
  }

  function acknowledge(number: number): void {
    if (waiting.delete(number)) {
      acknowledgedCount += 1;
      client.doneAtMs = acknowledgedCount === UPLOAD_PACKETS ? clock.nowMs : client.doneAtMs;
      fill();
    }
  }
}

t.test(
  'a burst above the rate of the link loses packets without pacing and none with it',
  async (t) => {
    const transferMs = (UPLOAD_PACKETS * PACKET_BYTES) / RATE_BYTES_PER_MS;
    const unpaced = await upload(undefined, 1);
    t.ok(unpaced.lostOnFullLinks > 0, 'packets are lost without pacing');
    t.ok(
      unpaced.doneAtMs > 3 * transferMs,
      `without pacing ${unpaced.doneAtMs} ms for ${transferMs} ms`,
    );
    const paced = await upload(RATE_BYTES_PER_MS, 1);
    t.equal(paced.lostOnFullLinks, 0);
    t.ok(paced.doneAtMs < 1.25 * transferMs, `paced ${paced.doneAtMs} ms for ${transferMs} ms`);
  },
);

t.test(
  'three concurrent uploads share the link, though each takes longer than the first timeout',
  async (t) => {
    const transferMs = (3 * UPLOAD_PACKETS * PACKET_BYTES) / RATE_BYTES_PER_MS;
    const paced = await upload(RATE_BYTES_PER_MS, 3);
    t.equal(paced.lostOnFullLinks, 0);
    t.ok(paced.doneAtMs < 1.4 * transferMs, `paced ${paced.doneAtMs} ms for ${transferMs} ms`);
  },
);

t.test('mutant: a sender configured with twice the rate of the link loses packets', async (t) => {
  const { lostOnFullLinks } = await upload(2 * RATE_BYTES_PER_MS, 1);
  t.ok(lostOnFullLinks > 0);
});
