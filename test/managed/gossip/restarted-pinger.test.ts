/**
 * @file Guards against sequence numbers reused after a restart: a late acknowledgement of a ping from before the restart
 * must not acknowledge a ping to a dead member.
 */
import t from 'tap';
import { seededRandom } from '../../../src/shared/common/random.js';
import { createGossipState, type GossipState } from '../../../src/managed/gossip/gossip-state.js';
import { gossipStep, type GossipEvent } from '../../../src/managed/gossip/gossip-step.js';
import type { GossipMessage } from '../../../src/managed/gossip/gossip-messages.js';

const ROUND_MS = 1_000;
const ZONE = 'zone-a';

type Ping = Extract<GossipMessage, { type: 'ping' }>;

function member(id: string, port: number, incarnation: number): GossipState {
  const host = '127.0.0.1';
  return createGossipState({
    id,
    zone: ZONE,
    host,
    gossipPort: port,
    linkPort: port,
    incarnation,
    seeds: [],
  });
}

/** Makes `other` known to a balancer and returns the ping that begins the balancer's first round. */
function firstPing(state: GossipState, other: GossipState, nowMs: number): Ping {
  const header = { zone: ZONE, sender: other.self, updates: [], zones: [] };
  const known: GossipMessage = { type: 'sync', ...header, wantsAnswer: false };
  step(state, { type: 'gossip', message: known, from: addressOf(other) }, nowMs);
  const sent = step(state, { type: 'tick' }, nowMs).map(({ message }) => message);
  const ping = sent.find((message) => message.type === 'ping');
  if (ping?.type !== 'ping') {
    throw new Error('No ping was sent.');
  }
  return ping;
}

function addressOf({ self }: GossipState) {
  return { host: self.host, port: self.gossipPort };
}

function step(state: GossipState, event: GossipEvent, nowMs: number) {
  return gossipStep(state, event, { nowMs, random: seededRandom(1) });
}

t.test('a dead member is suspected after one round despite a late acknowledgement', (t) => {
  const answering = member('answering', 7_001, 1);
  const dead = member('dead', 7_002, 1);
  const before = firstPing(member('pinger', 7_000, 100), answering, 0);
  const lateAck = step(
    answering,
    { type: 'gossip', message: before, from: { host: '127.0.0.1', port: 7_000 } },
    0,
  )
    .map(({ message }) => message)
    .find(({ type }) => type === 'ack');
  if (lateAck === undefined) {
    throw new Error('The ping was not acknowledged.');
  }

  const restarted = member('pinger', 7_000, 101);
  firstPing(restarted, dead, 0);
  step(restarted, { type: 'gossip', message: lateAck, from: addressOf(answering) }, 1);
  for (let nowMs = 100; nowMs <= ROUND_MS; nowMs += 100) {
    step(restarted, { type: 'tick' }, nowMs);
  }
  t.equal(restarted.list.members.get('dead')?.record.status, 'suspect');
  t.end();
});
