/**
 * @file End-to-end test of a deployment without a platform: three control machines and a balancer run as processes.
 * Random bytes on any port must not terminate a process.
 */
import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { connect, createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';
import t from 'tap';
import { createDeclaredClient } from '../../../src/tools/client/declared-client.js';
import type { Address } from '../../../src/shared/common/address.js';
import { encodeFrame } from '../../../src/shared/common/frame-codec.js';
import { seededRandom } from '../../../src/shared/common/random.js';
import { sendJson } from '../../../src/managed/daemon/http-json.js';
import { parseDeclaredConfig } from '../../../src/registered/declared/parse-config.js';
import {
  decodeForBackend,
  decodePacket,
  encodePacket,
  sealPacket,
  type TokenPacket,
} from '../../../src/registered/ingress/token-packet.js';

const HOST = '127.0.0.1';
const TOKEN = 'operator-token';
const CONTROL_COUNT = 3;
const INSTANCE = '00000000000000a1';
const RESEND_AFTER_MS = 200;
const NOISE_LINKS = 100;
const NOISE_DATAGRAMS = 200;

/** @returns addresses with ports that were free a moment ago */
async function freeAddresses(count: number): Promise<Address[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, HOST));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const addresses = servers.map((server) => ({
    host: HOST,
    port: (server.address() as AddressInfo).port,
  }));
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return addresses;
}

function textOf({ host, port }: Address): string {
  return `${host}:${port}`;
}

function startProcess(command: string, settings: Readonly<Record<string, unknown>>): ChildProcess {
  const flags = Object.entries({ logLevel: 'silent', ...settings }).flatMap(([name, value]) => [
    '--set',
    `${name}=${JSON.stringify(value)}`,
  ]);
  return spawn(process.execPath, ['bin/amberlift.js', command, ...flags], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
}

/** @returns the output of `amberlift ctl --json` */
async function runCtl(controls: readonly Address[], ...words: string[]): Promise<unknown> {
  const flags = controls.flatMap((control) => ['--control', textOf(control)]);
  const args = ['bin/amberlift.js', 'ctl', ...flags, '--token', TOKEN, '--json', ...words];
  const { stdout } = await promisify(execFile)(process.execPath, args);
  return JSON.parse(stdout) as unknown;
}

async function metricsAt(address: Address): Promise<string> {
  const response = await fetch(`http://${textOf(address)}/metrics`);
  return response.text();
}

async function bindSocket(): Promise<{ readonly socket: Socket; readonly address: Address }> {
  const socket = createSocket('udp4');
  socket.bind(0, HOST);
  await once(socket, 'listening');
  return { socket, address: { host: HOST, port: socket.address().port } };
}

/** Retransmits a packet until a datagram arrives, since datagrams may be lost. */
async function sendUntilAnswered(
  from: Socket,
  to: Address,
  packet: TokenPacket,
  at: Socket,
): Promise<Buffer> {
  const received = once(at, 'message') as Promise<[Buffer]>;
  for (;;) {
    from.send(encodePacket(packet), to.port, to.host);
    const answer = await Promise.race([received, sleep(RESEND_AFTER_MS)]);
    if (answer !== undefined) {
      return answer[0];
    }
  }
}

async function sendNoise(
  linkAddress: Address,
  datagramAddresses: readonly Address[],
): Promise<void> {
  const random = seededRandom(1);
  const noise = () => Buffer.from(Array.from({ length: 40 }, () => random.nextInt(256)));
  for (let index = 0; index < NOISE_LINKS; index += 1) {
    const link = connect(linkAddress.port, linkAddress.host);
    link.on('error', () => undefined);
    link.end(index % 2 === 0 ? noise() : encodeFrame({ type: 'consensus', index }));
    await once(link, 'close');
  }
  const { socket } = await bindSocket();
  for (let index = 0; index < NOISE_DATAGRAMS; index += 1) {
    datagramAddresses.forEach(({ host, port }) => socket.send(noise(), port, host));
  }
  socket.close();
}

t.test('a flow is opened through a deployment without a platform', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'amberlift-token-'));
  const addresses = await freeAddresses(2 * CONTROL_COUNT + 5);
  const linkAddresses = addresses.slice(0, CONTROL_COUNT);
  const callAddresses = addresses.slice(CONTROL_COUNT, 2 * CONTROL_COUNT);
  const [packetAddress, peerAddress, readyAddress, ...metricsAddresses] = addresses.slice(
    2 * CONTROL_COUNT,
  );
  const [ingressMetrics, groupMetrics] = metricsAddresses;
  if (
    packetAddress === undefined ||
    peerAddress === undefined ||
    readyAddress === undefined ||
    ingressMetrics === undefined ||
    groupMetrics === undefined
  ) {
    throw new Error('too few free ports');
  }
  const seeds = linkAddresses.map(textOf);
  const controls = linkAddresses.map((linkAddress, index) =>
    startProcess('group', {
      name: `control-${index}`,
      dataFolder: join(folder, `control-${index}`),
      linkAddress: textOf(linkAddress),
      callAddress: textOf(callAddresses[index] ?? linkAddress),
      seeds,
      isFirstStart: true,
      operatorToken: TOKEN,
      ...(index === 0 && { metricsAddress: textOf(groupMetrics) }),
    }),
  );
  const balancer = startProcess('ingress', {
    name: 'balancer-1',
    packetAddress: textOf(packetAddress),
    peerAddress: textOf(peerAddress),
    readyAddress: textOf(readyAddress),
    controlSeeds: seeds,
    metricsAddress: textOf(ingressMetrics),
  });
  const processes = [...controls, balancer];
  let exitCount = 0;
  processes.forEach((process_) => process_.on('exit', () => (exitCount += 1)));
  t.teardown(async () => {
    processes.forEach((process_) => process_.kill('SIGKILL'));
    await rm(folder, { recursive: true, force: true });
  });
  await Promise.all(processes.map((process_) => once(process_.stdout ?? process_, 'data')));

  const client = createDeclaredClient({ controlAddresses: callAddresses, operatorToken: TOKEN });
  const config = parseDeclaredConfig({
    version: 1,
    services: [{ name: 'alpha' }],
    routes: [
      {
        name: 'first',
        host: '198.18.0.1',
        port: 443,
        targets: [{ service: 'alpha' }],
        kind: 'repeatable',
        timeoutMs: 800,
      },
    ],
  })._unsafeUnwrap();
  t.ok((await client.declare(config)).isOk(), 'declared');
  t.same((await client.read())._unsafeUnwrap(), config, 'read back');

  t.match(await runCtl(callAddresses, 'apply', 'examples/declared/config-2.yaml'), {
    version: 2,
    heldVersion: 2,
  });
  t.match(await runCtl(callAddresses, 'show', 'config'), { version: 2 });
  t.match(await runCtl(callAddresses, 'apply', 'examples/declared/config.yaml'), {
    version: 1,
    heldVersion: 2,
  });

  const backend = await bindSocket();
  const caller = await bindSocket();
  t.teardown(() => {
    backend.socket.close();
    caller.socket.close();
  });
  const heartbeat = await sendJson({
    to: callAddresses[1] ?? packetAddress,
    method: 'PUT',
    path: '/v1/backends/backend-1',
    body: {
      service: 'authd',
      address: textOf(backend.address),
      zone: 'zone-a',
      instance: INSTANCE,
      sequence: 1,
    },
    timeoutMs: 2_000,
  });
  t.equal(heartbeat._unsafeUnwrap().status, 200, 'the heartbeat is accepted');

  const open = sealPacket({
    kind: 'open',
    from: caller.address,
    to: { host: '198.18.0.1', port: 443 },
    token: 0,
    copyNumber: 0,
    acceptNumber: 0,
    requestId: 0,
    sequence: 1,
    acknowledged: 0,
    dataLength: 0,
  });
  const atBackend = await sendUntilAnswered(caller.socket, packetAddress, open, backend.socket);
  const opened = decodeForBackend(atBackend);
  t.match(opened, { instance: INSTANCE, packet: { kind: 'open', from: caller.address } });
  t.not(opened?.packet.token, 0, 'the packet carries the token of the back end');

  await sendNoise(linkAddresses[0] ?? packetAddress, [packetAddress, peerAddress]);
  t.equal(exitCount, 0, 'no process exited because of random bytes');

  const data = sealPacket({ ...open, kind: 'data', token: opened?.packet.token ?? 0 });
  const next = decodeForBackend(
    await sendUntilAnswered(caller.socket, packetAddress, data, backend.socket),
  );
  t.match(
    next,
    { instance: INSTANCE, packet: { kind: 'data' } },
    'the token selects the same back end',
  );

  const unroutable = sealPacket({ ...open, to: { host: '198.18.0.1', port: 444 }, sequence: 2 });
  const answer = decodePacket(
    await sendUntilAnswered(caller.socket, packetAddress, unroutable, caller.socket),
  );
  t.match(answer, { kind: 'reset', to: caller.address }, 'an open without a route is reset');

  const ingressText = await metricsAt(ingressMetrics);
  t.match(ingressText, 'amberlift_ingress_config_version 2');
  t.match(ingressText, /amberlift_ingress_opens_total\{how="chosen"\} [1-9]/);
  t.match(ingressText, /amberlift_ingress_resets_total\{reason="no-route"\} [1-9]/);
  t.match(ingressText, 'amberlift_ingress_backends{state="heard"} 1');
  const groupText = await metricsAt(groupMetrics);
  t.match(groupText, 'amberlift_group_config_version 2');
  t.match(groupText, 'amberlift_group_voters 3');
  t.match(groupText, 'amberlift_group_is_current 1');

  t.match(await runCtl(callAddresses, 'evacuate', 'zone-a'), { zone: 'zone-a', fits: false });
  t.match(await runCtl(callAddresses, 'show', 'zones'), {
    zones: [{ zone: 'zone-a', isEvacuated: true, orders: 1 }],
  });
  t.match(await runCtl(callAddresses, 'readmit', 'zone-a'), { isEvacuated: false });
  t.match(await client.orderZone('zone-x', 'evacuate'), { error: { kind: 'not-found' } });

  balancer.kill('SIGTERM');
  const [code] = (await once(balancer, 'exit')) as [number];
  t.equal(code, 0, 'SIGTERM ends the balancer with exit code 0');
});
