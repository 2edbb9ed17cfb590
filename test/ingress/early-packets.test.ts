/** @file Packets that come before a balancer has a state are kept until it has one, within bounds. */
import t from 'tap';
import type { Address } from '../../src/common/address.js';
import {
  IngressProcess,
  type ControlLink,
  type ControlLinkHandlers,
} from '../../src/daemon/ingress-process.js';
import type { DeclaredConfig } from '../../src/declared/declared-config.js';
import type { FeedMessage } from '../../src/group/group-messages.js';
import type { BalancerMessage } from '../../src/group/message-schemas.js';
import { widestTiming } from '../../src/group/timing.js';
import { tokenOf } from '../../src/ingress/backend-table.js';
import {
  encodePacket,
  sealPacket,
  tokenPacketCodec,
  type TokenPacket,
} from '../../src/ingress/token-packet.js';

const CONTROL: Address = { host: '10.0.1.1', port: 7_700 };
const PEER: Address = { host: '10.0.3.2', port: 7_700 };
const BACKEND: Address = { host: '10.0.2.1', port: 9_000 };
const INSTANCE = '00000000000000a1';
const CONFIG: DeclaredConfig = {
  version: 1,
  services: [{ name: 'alpha' }],
  routes: [
    {
      name: 'first',
      host: '198.18.0.1',
      port: 443,
      targets: [{ service: 'alpha', weight: 1 }],
      kind: 'repeatable',
      timeoutMs: 800,
    },
  ],
  idleTimeoutMs: 15_000,
};

function packet(port: number, change: Partial<TokenPacket> = {}): Uint8Array {
  return encodePacket(
    sealPacket({
      kind: 'open',
      from: { host: '100.64.0.1', port },
      to: { host: '198.18.0.1', port: 443 },
      token: 0,
      copyNumber: 0,
      acceptNumber: 0,
      requestId: 0,
      sequence: 1,
      acknowledged: 0,
      dataLength: 0,
      ...change,
    }),
  );
}

/** A balancer whose world is in the hands of the test. */
function createWorld() {
  const world = {
    nowMs: 0,
    sent: [] as Address[],
    asked: [] as BalancerMessage[],
    later: [] as (() => void)[],
    handlers: undefined as ControlLinkHandlers | undefined,
  };
  const link: ControlLink = { send: () => undefined, close: () => undefined };
  const balancer = new IngressProcess(
    {
      ingress: {
        name: 'balancer-1',
        zone: 'zone-a',
        heartbeatIntervalMs: 1_000,
        flowLifetimeMs: 60_000,
        feed: widestTiming.feed,
        maxCountedFlows: 100,
      },
      peerAddress: { host: '10.0.3.1', port: 7_700 },
      controlSeeds: [CONTROL],
    },
    tokenPacketCodec,
    {
      nowMs: () => world.nowMs,
      sendPacket: (_datagram, to) => world.sent.push(to),
      sendToBalancer: (_to, message) => world.asked.push(message),
      connectControl: (_to, handlers) => {
        world.handlers = handlers;
        return link;
      },
      after: (_delayMs, run) => world.later.push(run),
      note: () => undefined,
      packetLog: { note: () => undefined, flush: () => undefined },
    },
  );
  balancer.tick();
  const feed = (withPeer: boolean) => {
    const record = { id: 'b-1', instanceNumber: INSTANCE, service: 'alpha', address: BACKEND };
    const message: FeedMessage = {
      type: 'feed',
      isCurrent: true,
      config: CONFIG,
      records: [
        {
          record: { ...record, zone: 'zone-a', capacity: 2, warmUpLeftMs: 0, sequence: 1 },
          ageMs: 0,
        },
      ],
      balancers: withPeer ? [{ name: 'balancer-2', zone: 'zone-a', peerAddress: PEER }] : [],
    };
    world.handlers?.onMessage(message, link);
  };
  return { world, balancer, feed };
}

t.test('opens and packets of open flows are forwarded once the first feed is there', async (t) => {
  const { world, balancer, feed } = createWorld();
  balancer.takePacket(packet(1_000));
  balancer.takePacket(packet(1_001, { kind: 'data', token: tokenOf(INSTANCE), dataLength: 10 }));
  t.same(world.sent, [], 'nothing is known yet');
  world.nowMs = 400;
  feed(false);
  t.same(world.sent, [BACKEND, BACKEND]);
});

t.test('another balancer may have placed a copy of an open that was kept', async (t) => {
  const { world, balancer, feed } = createWorld();
  balancer.takePacket(packet(1_000));
  feed(true);
  t.same(world.sent, []);
  t.match(world.asked.at(-1), { type: 'find-open' }, 'the others are asked first');
  world.later.forEach((run) => run());
  t.same(world.sent, [BACKEND], 'none of them placed it');
});

t.test('what waited for too long is of no use', async (t) => {
  const { world, balancer, feed } = createWorld();
  balancer.takePacket(packet(1_000));
  world.nowMs = 1_500;
  balancer.takePacket(packet(1_001));
  world.nowMs = 2_000;
  feed(false);
  t.equal(world.sent.length, 1);
});

t.test('no more is kept than the bound', async (t) => {
  const { world, balancer, feed } = createWorld();
  for (let port = 1; port <= 2_500; port += 1) {
    balancer.takePacket(packet(port));
  }
  feed(false);
  t.equal(world.sent.length, 2_000);
  t.equal(balancer.counts.get('dropped:not-ready'), 500);
});
