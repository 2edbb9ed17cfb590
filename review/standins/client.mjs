// Clients of the platform: flows in datagrams, which the routers hand to a balancer of the client's zone.
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { clearTimeout, setTimeout } from 'node:timers';
import { ports } from './deployment.mjs';
import { decodePacket, encodePacket, flag } from './packet.mjs';

const OPEN_COPIES_MS = [0, 200, 600];
const OPEN_TIMEOUT_MS = 1400;
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 1600;
/** A reset counts on an open flow if its `seq` is that close to the client's last `ack`. */
const RESET_WINDOW = 76_800;

export async function startClient({ record, routers, ip, zone }) {
  const socket = createSocket('udp4');
  const flows = new Map();
  socket.on('message', (datagram) => receive(decodePacket(datagram)));
  socket.bind(ports.datagram, ip);
  await once(socket, 'listening');
  return { ip, open, end: () => socket.close() };

  /** Opens a flow. @returns the flow, with `state` `open`, `reset` or `silent` */
  function open(route, sport) {
    const key = `${ip}:${sport}>${route.host}:${route.port}`;
    const isn = Math.floor(Math.random() * 2 ** 31) + 2 ** 20;
    const flow = {
      key,
      route,
      sport,
      seq: isn,
      next: 0,
      echo: 0,
      state: 'opening',
      sentAtMs: record.nowMs(),
      resetAtMs: undefined,
      resetBy: undefined,
      answer: undefined,
      copies: 0,
    };
    flows.set(sport, flow);
    return new Promise((resolve) => {
      const timers = OPEN_COPIES_MS.map((delayMs, copy) =>
        setTimeout(() => send(flow, flag.syn, { ack: copy, echo: 0 }), delayMs),
      );
      timers.push(setTimeout(() => settle('silent'), OPEN_TIMEOUT_MS));
      flow.settle = settle;
      function settle(state) {
        timers.forEach((timer) => clearTimeout(timer));
        flow.settle = undefined;
        flow.state = state;
        record.line(`flow ${key}: ${state === 'open' ? 'accepted' : state}`);
        resolve(flow);
      }
    }).then((settled) => ({ ...control(settled), flow: settled }));
  }

  function control(flow) {
    return { request: (options) => request(flow, options), close: () => close(flow) };
  }

  /** Sends a request. @returns `answered`, `reset` or `deadline` */
  function request(flow, { requestId, workMs, deadlineMs = 2000, padTo = 0 }) {
    const head = `POST /work HTTP/1.1\r\nRequest-Id: ${requestId}\r\nWork-Ms: ${workMs}\r\n`;
    const body = 'x'.repeat(padTo);
    const data = Buffer.from(`${head}Content-Length: ${body.length}\r\n\r\n${body}`, 'latin1');
    if (flow.state !== 'open') {
      return Promise.resolve(flow.state);
    }
    record.line(`request ${requestId} sent on flow ${flow.key}`);
    return new Promise((resolve) => {
      const deadline = setTimeout(() => finish('deadline'), deadlineMs);
      flow.pending = { data, finish, acked: false };
      transmit(0);
      function transmit(tries) {
        if (flow.pending === undefined || flow.pending.acked) {
          return;
        }
        if (tries > 0) {
          record.line(`request ${requestId} sent again, try ${tries + 1}`);
        }
        send(flow, flag.ack, { ack: flow.next, data });
        flow.retry = setTimeout(
          () => transmit(tries + 1),
          Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** tries),
        );
      }
      function finish(result) {
        clearTimeout(deadline);
        clearTimeout(flow.retry);
        flow.pending = undefined;
        record.line(`request ${requestId}: ${result}`);
        resolve(result);
      }
    });
  }

  function close(flow) {
    if (flow.state === 'open') {
      flow.state = 'closed';
      send(flow, flag.fin | flag.ack, { ack: flow.next });
    }
  }

  function receive(packet) {
    const flow = flows.get(packet.dport);
    const isForFlow =
      flow !== undefined && packet.src === flow.route.host && packet.sport === flow.route.port;
    if (!isForFlow || (!packet.isIntact && !packet.isSystemReset)) {
      return;
    }
    if ((packet.flags & flag.rst) !== 0) {
      receiveReset(flow, packet);
      return;
    }
    if ((packet.flags & flag.syn) !== 0) {
      receiveAccept(flow, packet);
      return;
    }
    if (flow.state === 'open') {
      flow.echo = packet.echo;
      receiveInFlow(flow, packet);
    }
  }

  function receiveAccept(flow, packet) {
    if (flow.state === 'open' && flow.echo !== packet.echo) {
      record.line(`flow ${flow.key}, open already, gets another accept with another echo`);
    }
    // A client puts the last `echo` that it got on the flow into its packets.
    flow.echo = packet.echo;
    if (flow.state !== 'opening') {
      return;
    }
    flow.seq = (flow.seq + 1) >>> 0;
    flow.next = (packet.seq + 1) >>> 0;
    send(flow, flag.ack, { ack: flow.next });
    flow.settle('open');
  }

  function receiveReset(flow, packet) {
    const distance = Math.abs((packet.seq - flow.next) | 0);
    const counts = flow.state === 'opening' || (flow.state === 'open' && distance <= RESET_WINDOW);
    if (!counts) {
      return;
    }
    flow.resetBy = packet.isSystemReset ? 'system' : 'back end';
    flow.resetAtMs = record.nowMs();
    record.line(`flow ${flow.key} (${flow.state}) gets a reset of the ${flow.resetBy}`);
    if (flow.state === 'opening') {
      flow.settle('reset');
      return;
    }
    flow.state = 'reset';
    flow.pending?.finish('reset');
  }

  function receiveInFlow(flow, packet) {
    const { pending } = flow;
    if (pending !== undefined && packet.ack === (flow.seq + pending.data.length) >>> 0) {
      pending.acked = true;
      flow.seq = packet.ack;
      pending.data = Buffer.alloc(0);
    }
    if (packet.data.length === 0) {
      return;
    }
    if (packet.seq === flow.next) {
      flow.next = (flow.next + packet.data.length) >>> 0;
      flow.answer = packet.data.toString('latin1');
      pending?.finish(flow.answer.startsWith('HTTP/1.1 200') ? 'answered' : 'failed');
    }
    send(flow, flag.ack, { ack: flow.next });
  }

  function send(flow, flags, { ack, data, echo = flow.echo }) {
    const bytes = encodePacket({
      src: ip,
      sport: flow.sport,
      dst: flow.route.host,
      dport: flow.route.port,
      flags,
      seq: flow.seq,
      ack,
      echo,
      data,
    });
    const front = routers.pick(zone, flow.key);
    socket.send(bytes, ports.datagram, front.ip);
  }
}
