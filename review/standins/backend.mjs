// A back end of the platform: heartbeats over HTTP, flows in datagrams. It acknowledges every second packet, as the pages
// say, and a packet that it has already.
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { heartbeatMs, ports } from './deployment.mjs';
import { backendNumber, decodePacket, encodePacket, flag } from './packet.mjs';
import { call } from './platform.mjs';

const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 1600;
const MAX_TRIES = 8;

/** Starts a back end; its heartbeats go to `cores`, from number `firstCore` on, or to `heartbeatVia`. */
export async function startBackend(options) {
  const { record, id, service, ip, port, zone, capacity = 2, cores, clientPort } = options;
  const number = backendNumber(id);
  const flows = new Map();
  const opens = [];
  const runs = [];
  const accepted = new Set();
  const resets = [];
  let state = 'ready';
  let callSeq = 0;
  let coreIndex = options.firstCore ?? 0;
  let drainAckedAtMs;
  let hasEnded = false;
  const socket = createSocket('udp4');
  socket.on('message', (datagram) => receive(datagram));
  socket.bind(port, ip);
  await once(socket, 'listening');
  record.line(`${id} starts at ${ip}:${port}, service ${service}`);
  const timer = setInterval(() => void sendHeartbeat(), heartbeatMs);
  void sendHeartbeat();

  const backend = {
    id,
    address: `${ip}:${port}`,
    opens,
    runs,
    /** Keys of the flows that opened here. */
    accepted,
    /** Resets of flows that it does not hold. */
    resets,
    get drainAckedAtMs() {
      return drainAckedAtMs;
    },
    /** Says that it leaves, until that is acknowledged. */
    async drain() {
      state = 'draining';
      while (drainAckedAtMs === undefined && !hasEnded) {
        await sendHeartbeat();
      }
    },
    /** Deregisters and ends. */
    async leave() {
      const { status } = await call(
        cores[coreIndex].ip,
        ports.control,
        'POST',
        `/Backends.Deregister/${id}`,
      );
      record.line(`${id} deregisters at ${cores[coreIndex].name}: ${status}`);
      end('ends');
    },
    crash: () => end('crashes'),
  };
  return backend;

  async function sendHeartbeat() {
    callSeq += 1;
    const core = cores[coreIndex];
    const body = {
      service,
      address: `${ip}:${port}`,
      zone,
      version: 'v1',
      capacity,
      state,
      warmupLeftMs: 0,
      callSeq,
    };
    const via = options.heartbeatVia ?? { ip: core.ip, port: ports.control };
    const saidState = state;
    const { status } = await call(via.ip, via.port, 'POST', `/Backends.Heartbeat/${id}`, body);
    if (hasEnded) {
      return;
    }
    record.line(
      `heartbeat of ${id} (${saidState}, callSeq ${body.callSeq}) at ${core.name}: ${status || 'no answer'}`,
    );
    if (status < 200 || status > 299) {
      coreIndex = (coreIndex + 1) % cores.length;
    } else if (saidState === 'draining') {
      drainAckedAtMs ??= record.nowMs();
    }
  }

  function end(how) {
    hasEnded = true;
    clearInterval(timer);
    flows.forEach((flow) => clearTimeout(flow.retry));
    socket.close();
    record.line(`${id} ${how}`);
  }

  function receive(datagram) {
    const named = datagram.readBigUInt64BE(0);
    const packet = decodePacket(datagram.subarray(8));
    if (named !== 0n && named !== number) {
      return;
    }
    if (!packet.isIntact) {
      record.line(`${id} got a packet that its sender did not write`);
      return;
    }
    const key = `${packet.src}:${packet.sport}>${packet.dst}:${packet.dport}`;
    if ((packet.flags & flag.syn) !== 0) {
      receiveOpen(key, packet);
      return;
    }
    const known = flows.get(key);
    // A flow opens here only if the client acknowledges the `seq` of this back end.
    const flow = known?.isOpen || packet.ack === known?.seq + 1 ? known : undefined;
    if (flow === undefined || (packet.flags & flag.rst) !== 0) {
      flows.delete(key);
      if ((packet.flags & (flag.rst | flag.fin)) === 0) {
        reply({ key, packet, seq: packet.ack }, flag.rst);
        resets.push({ key, atMs: record.nowMs() });
        record.line(`${id} resets flow ${key}, which it does not hold`);
      }
      return;
    }
    flow.packet = packet;
    receiveInFlow(flow, packet);
  }

  function receiveOpen(key, packet) {
    const known = flows.get(key);
    const isCopy = known !== undefined && known.clientSeq === packet.seq;
    const flow = isCopy
      ? known
      : {
          key,
          clientSeq: packet.seq,
          next: (packet.seq + 1) >>> 0,
          seq: Math.floor(Math.random() * 2 ** 31) + 2 ** 20,
          isOpen: false,
          unread: Buffer.alloc(0),
          unacked: 0,
          sent: undefined,
        };
    flow.packet = packet;
    flows.set(key, flow);
    if (!isCopy) {
      opens.push({ key, atMs: record.nowMs(), sport: packet.sport });
      record.line(`${id} takes the open of flow ${key}`);
    }
    reply(flow, flag.syn | flag.ack);
  }

  function receiveInFlow(flow, packet) {
    const { ack, seq, data, flags } = packet;
    if (ack === (flow.seq + 1) >>> 0 && !flow.isOpen) {
      flow.isOpen = true;
      accepted.add(flow.key);
      flow.seq = ack;
      record.line(`flow ${flow.key} is open at ${id}`);
    }
    if (flow.sent !== undefined && ack === (flow.seq + flow.sent.length) >>> 0) {
      flow.seq = ack;
      flow.sent = undefined;
      clearTimeout(flow.retry);
    }
    if (data.length > 0) {
      receiveData(flow, seq, data);
    }
    if ((flags & flag.fin) !== 0) {
      flow.next = (seq + data.length + 1) >>> 0;
      reply(flow, flag.ack | flag.fin);
      flows.delete(flow.key);
    }
  }

  function receiveData(flow, seq, data) {
    if (seq !== flow.next) {
      reply(flow, flag.ack);
      return;
    }
    flow.next = (flow.next + data.length) >>> 0;
    flow.unread = Buffer.concat([flow.unread, data]);
    flow.unacked += 1;
    if (flow.unacked >= 2) {
      flow.unacked = 0;
      reply(flow, flag.ack);
    }
    const text = flow.unread.toString('latin1');
    const headEnd = text.indexOf('\r\n\r\n');
    const length = Number(/Content-Length: (\d+)/.exec(text)?.[1] ?? 0);
    if (headEnd >= 0 && text.length >= headEnd + 4 + length) {
      flow.unread = Buffer.alloc(0);
      run(flow, text);
    }
  }

  function run(flow, text) {
    const requestId = /Request-Id: (\S+)/.exec(text)?.[1];
    const workMs = Number(/Work-Ms: (\d+)/.exec(text)?.[1] ?? 20);
    runs.push({ requestId, atMs: record.nowMs() });
    record.line(`${id} runs request ${requestId}, ${workMs} ms`);
    setTimeout(() => {
      if (hasEnded) {
        return;
      }
      const body = `${requestId} by ${id}`;
      const head = `HTTP/1.1 200 OK\r\nBackend-Seal: ${requestId}-${id}\r\nContent-Length: ${body.length}\r\n\r\n`;
      flow.sent = Buffer.from(head + body, 'latin1');
      sendAnswer(flow, 0);
    }, workMs);
  }

  function sendAnswer(flow, tries) {
    if (hasEnded || flow.sent === undefined || tries > MAX_TRIES || flows.get(flow.key) !== flow) {
      return;
    }
    flow.unacked = 0;
    reply(flow, flag.ack, flow.sent);
    const delayMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** tries);
    flow.retry = setTimeout(() => sendAnswer(flow, tries + 1), delayMs);
  }

  /** Replies to the client directly, with the last echo of the flow. */
  function reply(flow, flags, data) {
    const { packet } = flow;
    const bytes = encodePacket({
      src: packet.dst,
      sport: packet.dport,
      dst: packet.src,
      dport: packet.sport,
      flags,
      seq: flow.seq,
      ack: flow.next ?? 0,
      echo: packet.echo,
      data,
    });
    socket.send(bytes, clientPort, packet.src);
  }
}
