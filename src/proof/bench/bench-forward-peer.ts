/**
 * @file Entry point of the forwarding benchmark's peer processes; the only argument is a `PeerRole` in JSON.
 */
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { match } from 'ts-pattern';
import { decodeEnvelope, encodeEnvelope } from '../../managed/flow/envelope.js';
import { encodeLongHeader, hasLongHeader, parseLongHeader } from '../../managed/flow/header.js';
import { encodeMessage } from '../../managed/flow/messages.js';
import { BENCH_INCARNATION, establishedDatagrams } from './bench-forward-config.js';
import { measureMemory } from './bench-forward-memory.js';
import type { PeerRequest, PeerRole } from './bench-forward-messages.js';
import { openFlows } from './bench-forward-opener.js';

const SOCKET_BUFFER_BYTES = 4 * 1024 * 1024;
/** Datagrams sent between two turns of the event loop. */
const BURST_DATAGRAMS = 32;

type Role<T extends PeerRole['type']> = Extract<PeerRole, { type: T }>;
type Request<T extends PeerRequest['type']> = Extract<PeerRequest, { type: T }>;

async function bind(host: string): Promise<Socket> {
  const sizes = { recvBufferSize: SOCKET_BUFFER_BYTES, sendBufferSize: SOCKET_BUFFER_BYTES };
  const socket = createSocket({ type: 'udp4', ...sizes });
  socket.bind(0, host);
  await once(socket, 'listening');
  return socket;
}

function serveRequests(handle: (request: PeerRequest) => Promise<object>, port: number): void {
  process.on('message', (request: PeerRequest) => {
    void handle(request).then((result) => process.send?.(result));
  });
  process.on('disconnect', () => process.exit(0));
  process.send?.({ port });
}

/** Counts received datagrams and replies to `count` requests. */
function serveCounts(socket: Socket): void {
  let received = 0;
  socket.on('message', () => (received += 1));
  const count = (): Promise<object> => Promise.resolve({ received, atMs: performance.now() });
  serveRequests(count, socket.address().port);
}

async function runRelay({ to, resolvesHost }: Role<'relay'>): Promise<void> {
  const input = await bind('127.0.0.1');
  const output = await bind('127.0.0.1');
  if (resolvesHost) {
    input.on('message', (datagram) => output.send(datagram, to.port, to.host));
  } else {
    output.connect(to.port, to.host);
    await once(output, 'connect');
    input.on('message', (datagram) => output.send(datagram));
  }
  serveCounts(input);
}

async function runSink(): Promise<void> {
  serveCounts(await bind('0.0.0.0'));
}

/** Accepts all opens on behalf of all back ends. */
async function runBackend(): Promise<void> {
  const socket = await bind('0.0.0.0');
  const body = encodeMessage({ type: 'accept', incarnation: BENCH_INCARNATION });
  socket.on('message', (datagram, from) => {
    const { client, service, packet } = decodeEnvelope(datagram)._unsafeUnwrap();
    if (!hasLongHeader(packet)) {
      return;
    }
    const { destinationId, sourceId } = parseLongHeader(packet)._unsafeUnwrap();
    const reply = encodeLongHeader(sourceId, destinationId, body);
    socket.send(encodeEnvelope({ client, service, packet: reply }), from.port, from.address);
  });
  serveCounts(socket);
}

function runSender({ flowCount, backendCount }: Role<'sender'>): void {
  const datagrams = establishedDatagrams(flowCount, backendCount);
  let nextIndex = 0;
  const send = async ({ to, durationMs }: Request<'send'>): Promise<object> => {
    const socket = await bind('127.0.0.1');
    socket.connect(to.port, to.host);
    await once(socket, 'connect');
    socket.on('error', () => undefined);
    const deadlineMs = performance.now() + durationMs;
    let sent = 0;
    while (performance.now() < deadlineMs) {
      for (let count = 0; count < BURST_DATAGRAMS; count += 1) {
        socket.send(datagrams[nextIndex] ?? '');
        nextIndex = (nextIndex + 1) % datagrams.length;
      }
      sent += BURST_DATAGRAMS;
      await new Promise((resolve) => setImmediate(resolve));
    }
    socket.close();
    return { sent };
  };
  serveRequests((request) => send(request as Request<'send'>), 0);
}

const role = JSON.parse(process.argv[2] ?? '{}') as PeerRole;
await match(role)
  .with({ type: 'relay' }, runRelay)
  .with({ type: 'sink' }, runSink)
  .with({ type: 'backend' }, runBackend)
  .with({ type: 'sender' }, runSender)
  .with({ type: 'opener' }, async () => {
    const socket = await bind('127.0.0.1');
    serveRequests((request) => openFlows(socket, request as Request<'open'>), 0);
  })
  .with({ type: 'memory' }, () => {
    const measure = (request: PeerRequest): Promise<object> =>
      Promise.resolve(measureMemory((request as Request<'measure-memory'>).flowCount));
    serveRequests(measure, 0);
  })
  .exhaustive();
