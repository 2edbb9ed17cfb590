/**
 * @file A client: opens flows with the copies of the users' pages, sends requests, and tells which packets ended them. The
 * routers' choice of a node is its argument.
 */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { ACK, decode, encode, FIN, RST, SYN } from './packet.mjs';
import { PACKET_PORT } from './deployment.mjs';

const COPY_DELAYS_MS = [0, 200, 400];
const ATTEMPT_MS = 1_400;
const RETRANSMIT_MS = [200, 400, 800, 1_600];
const RESET_WINDOW = 76_800;

/** Starts a client at an address of its own. */
export async function startClient({ record, host }) {
  const socket = createSocket('udp4');
  const flows = new Map();
  let nextPort = 40_000;
  socket.on('message', (datagram) => {
    const packet = decode(datagram);
    flows.get(packet.dport)?.onPacket(packet);
  });
  socket.bind(PACKET_PORT, host);
  await once(socket, 'listening');

  /**
   * Opens a flow to a route through a balancer.
   * @returns the flow, with `outcome` `open`, `reset` or `none`
   */
  async function open({ route, port, via, name }) {
    const sport = (nextPort += 1);
    const key = `${host}:${sport}`;
    const initial = 1_000_000 + sport;
    const opens = [];
    const flow = {
      key,
      name,
      opens,
      outcome: 'none',
      next: initial + 1,
      peerNext: 0,
      echo: 0,
      resets: [],
      answers: [],
      isOpen: false,
    };
    const send = (fields, to = via) =>
      socket.send(
        encode({ src: host, sport, dst: route, dport: port, echo: flow.echo, ...fields }),
        PACKET_PORT,
        to,
      );
    let wake = () => undefined;
    const wait = (ms) => Promise.race([sleep(ms), new Promise((resolve) => (wake = resolve))]);
    flow.onPacket = (packet) => {
      if (packet.flags & RST) {
        const isOwn = packet.sum === 0;
        const isInWindow = Math.abs((packet.seq - flow.peerNext) | 0) <= RESET_WINDOW;
        if (!flow.isOpen || isInWindow) {
          flow.resets.push({ atMs: record.nowMs(), isOfSystem: isOwn, wasOpen: flow.isOpen });
          record(
            `client ${key} (${name}) gets RST ${isOwn ? 'of the system (sum 0)' : 'of the back end'} on ${flow.isOpen ? 'an open flow' : 'an attempt'}`,
          );
          flow.outcome = 'reset';
        }
      } else if (packet.flags & SYN && flow.outcome === 'none') {
        flow.echo = packet.echo;
        flow.peerNext = packet.seq + 1;
        flow.outcome = 'open';
      } else if (packet.data.length > 0 && flow.outcome === 'open') {
        flow.echo = packet.echo;
        if (packet.seq === flow.peerNext) {
          flow.peerNext = packet.seq + packet.data.length;
          flow.answers.push(packet.data);
        }
      }
      wake();
    };
    flows.set(sport, flow);

    /** Sends a request and waits for its answer. @returns true if it came */
    flow.request = async (requestId, to = via, workMs = 0) => {
      const data = `POST /run HTTP/1.1\r\nHost: x\r\nRequest-Id: ${requestId}\r\nWork-Ms: ${workMs}\r\nContent-Length: 2\r\n\r\nhi`;
      const seq = flow.next;
      flow.next += data.length;
      const answered = flow.answers.length;
      flow.isOpen = true;
      for (const delayMs of RETRANSMIT_MS) {
        send({ flags: ACK, seq, ack: flow.peerNext, data }, to);
        const untilMs = record.nowMs() + delayMs;
        while (record.nowMs() < untilMs && flow.outcome === 'open') {
          await wait(Math.max(1, untilMs - record.nowMs()));
          if (flow.answers.length > answered) {
            send({ flags: ACK, seq: flow.next, ack: flow.peerNext }, to);
            return true;
          }
        }
        if (flow.outcome !== 'open') {
          return false;
        }
      }
      return false;
    };
    flow.finish = (to = via) => send({ flags: ACK | FIN, seq: flow.next, ack: flow.peerNext }, to);

    const startedAtMs = record.nowMs();
    for (const [copy, delayMs] of COPY_DELAYS_MS.entries()) {
      await wait(delayMs);
      if (flow.outcome !== 'none') {
        break;
      }
      opens.push({ copy, atMs: record.nowMs() });
      record(`client ${key} (${name}) sends SYN copy=${copy} to ${route}:${port} via ${via}`);
      send({ flags: SYN, seq: initial, ack: copy });
    }
    while (flow.outcome === 'none' && record.nowMs() - startedAtMs < ATTEMPT_MS) {
      await wait(50);
    }
    return flow;
  }

  return { host, open, close: () => socket.close() };
}
