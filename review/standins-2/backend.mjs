/**
 * @file A back end: sends heartbeats, takes flows, answers requests. It follows the users' pages: silent for packets that
 * name another back end and for opens while it is full, that is, while its slots and its queue are taken, RST for packets of a flow that it does not hold.
 */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { clearTimeout, setTimeout } from 'node:timers';
import { ACK, decodeForBackend, encode, FIN, RST, SYN } from './packet.mjs';
import { call, CONTROL_PORT, HEARTBEAT_MS, PACKET_PORT } from './deployment.mjs';

/** Starts a back end at `host:port`. */
export async function startBackend({
  record,
  id,
  service,
  host,
  port,
  zone,
  controls,
  capacity = 2,
  queue = 8,
}) {
  const idHex = id.slice(id.lastIndexOf('-') + 1).padStart(16, '0');
  const socket = createSocket('udp4');
  const flows = new Map();
  /** Opens that were answered, by flow: the number that was offered. */
  const offers = new Map();
  let nextNumber = 1_000;
  let sequence = 0;
  let state = 'ready';
  /** Requests that wait for a slot. */
  const waiting = [];
  let busySlots = 0;
  let timer;
  let isRunning = true;
  let controlIndex = 0;
  /** What happened here: opens taken and requests run. */
  const taken = [];
  const run = [];

  const send = (to, fields) =>
    socket.send(
      encode({ src: to.dst, sport: to.dport, dst: to.src, dport: to.sport, ...fields }),
      PACKET_PORT,
      to.src,
    );

  const isFull = () => busySlots + waiting.length >= capacity + queue;

  const reply = (packet, flow, text) => {
    flow.answer = text;
    flow.answerAt = flow.sent;
    flow.sent += text.length;
    send(packet, {
      flags: ACK,
      seq: flow.answerAt,
      ack: flow.next,
      echo: packet.echo,
      data: text,
    });
  };

  /** Begins the next request that waits, if a slot is free. */
  const work = () => {
    if (busySlots >= capacity || waiting.length === 0) {
      return;
    }
    const { key, packet, flow, requestId, workMs } = waiting.shift();
    busySlots += 1;
    run.push({ key, requestId, atMs: record.nowMs() });
    record(`${id} (${service}) runs request ${requestId} of ${key}`);
    setTimeout(() => {
      busySlots -= 1;
      const head = `HTTP/1.1 200 OK\r\nBackend-Seal: ${id}\r\nRequest-Id: ${requestId}`;
      reply(packet, flow, `${head}\r\nContent-Length: 2\r\n\r\nok`);
      work();
    }, workMs);
  };

  const onRequest = (key, packet, flow) => {
    flow.next = (packet.seq + packet.data.length) >>> 0;
    flow.answer = undefined;
    const requestId = /Request-Id: (\S+)/.exec(packet.data)?.[1];
    const workMs = Number(/Work-Ms: (\d+)/.exec(packet.data)?.[1] ?? 0);
    if (isFull()) {
      record(`${id} rejects request ${requestId} of ${key}: full`);
      reply(packet, flow, 'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
      return;
    }
    waiting.push({ key, packet, flow, requestId, workMs });
    work();
  };

  const onOpen = (key, packet) => {
    if (isFull()) {
      record(`${id} is full: silent for open of ${key} copy=${packet.ack}`);
      return;
    }
    const number = offers.get(key) ?? (nextNumber += 1_000);
    offers.set(key, number);
    taken.push({
      key,
      copy: packet.ack,
      atMs: record.nowMs(),
      route: `${packet.dst}:${packet.dport}`,
    });
    record(`${id} (${service}) takes open of ${key} copy=${packet.ack}`);
    send(packet, { flags: SYN | ACK, seq: number, ack: packet.seq + 1, echo: packet.echo });
  };

  const onFlowPacket = (key, packet) => {
    let flow = flows.get(key);
    const offered = offers.get(key);
    if (flow === undefined && offered !== undefined && packet.ack === offered + 1) {
      flow = { next: packet.seq, sent: offered + 1, openedAtMs: record.nowMs() };
      flows.set(key, flow);
    }
    if (flow === undefined) {
      record(`${id} resets ${key}: flow not held`);
      send(packet, { flags: RST, seq: packet.ack, ack: 0, echo: packet.echo });
      return;
    }
    if (packet.flags & FIN) {
      send(packet, { flags: ACK | FIN, seq: flow.sent, ack: packet.seq + 1, echo: packet.echo });
      flows.delete(key);
      offers.delete(key);
      return;
    }
    if (packet.data.length === 0) {
      return;
    }
    if (packet.seq === flow.next) {
      onRequest(key, packet, flow);
      return;
    }
    const data = flow.answer ?? '';
    const seq = flow.answer === undefined ? flow.sent : flow.answerAt;
    send(packet, { flags: ACK, seq, ack: flow.next, echo: packet.echo, data });
  };

  socket.on('message', (datagram) => {
    const { id: meant, packet } = decodeForBackend(datagram);
    if (!isRunning || (meant !== idHex && meant !== '0'.repeat(16))) {
      return;
    }
    const key = `${packet.src}:${packet.sport}`;
    if (packet.flags & SYN) {
      onOpen(key, packet);
    } else if (packet.flags & RST) {
      flows.delete(key);
    } else {
      onFlowPacket(key, packet);
    }
  });

  const heartbeatBody = () => {
    sequence += 1;
    const address = `${host}:${port}`;
    return JSON.stringify({
      service,
      address,
      zone,
      version: 'v1',
      capacity,
      state,
      warmupLeftMs: 0,
      callSeq: sequence,
    });
  };

  /** Calls one node after the other until one acknowledges. */
  const heartbeat = async () => {
    const body = heartbeatBody();
    for (let turn = 0; turn < controls.length && isRunning; turn += 1) {
      const { host: to, port: at = CONTROL_PORT } = controls[controlIndex % controls.length];
      const { status } = await call('POST', to, at, `/Backends.Heartbeat/${id}`, body);
      if (status >= 200 && status < 300) {
        return true;
      }
      controlIndex += 1;
    }
    return false;
  };

  const beat = async () => {
    if (isRunning) {
      timer = setTimeout(() => void beat(), HEARTBEAT_MS);
      await heartbeat();
    }
  };

  socket.bind(port, host);
  await once(socket, 'listening');
  const started = heartbeat();
  timer = setTimeout(() => void beat(), HEARTBEAT_MS);

  return {
    id,
    idHex,
    taken,
    run,
    flows,
    /** Resolves with true once the first heartbeat was acknowledged. */
    started,
    isFull,
    drain: async () => {
      state = 'draining';
      return heartbeat();
    },
    /** Ends without a word, like a process that crashes. */
    crash: () => {
      isRunning = false;
      clearTimeout(timer);
      socket.close();
    },
  };
}
