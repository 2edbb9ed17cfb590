/** @file Guards packets, routing tokens and gossip of managed balancers against changes: balancers of two versions share flows. */
import t from 'tap';
import { encodeEnvelope, decodeEnvelope, type Envelope } from '../../src/managed/flow/envelope.js';
import { encodeLongHeader, encodeShortHeader } from '../../src/managed/flow/header.js';
import { decodeMessage, encodeMessage, type Message } from '../../src/managed/flow/messages.js';
import { mintToken, prepareTokenKey, readToken } from '../../src/managed/flow/token.js';
import { decodeGossip, encodeGossip, gossipKey } from '../../src/managed/gossip/gossip-codec.js';
import type { GossipHeader, PeerDatagram } from '../../src/managed/gossip/gossip-messages.js';
import type { MemberRecord } from '../../src/managed/gossip/member.js';
import { hexOf, keptBytes, testFrozenForms } from './frozen-forms.js';

const FLOW_ID = Buffer.from('0102030405060708', 'hex');
const PAYLOAD = Buffer.from('payload');
const TOKEN_FIELDS = {
  keyId: 1,
  serviceId: 2,
  backendId: 3,
  incarnation: 4,
  flowId: FLOW_ID,
} as const;
const token = mintToken(TOKEN_FIELDS, prepareTokenKey(Buffer.alloc(16, 7)));

const messages: Readonly<Record<string, Message>> = {
  open: { type: 'open', deadlineMs: 500 },
  accept: { type: 'accept', incarnation: 4 },
  refuse: {
    type: 'refuse',
    requestId: 9,
    kind: 'overloaded',
    surelyNotRun: true,
    retryAfterMs: 100,
    incarnation: 4,
    firstNotice: 12,
  },
  request: {
    type: 'request',
    requestId: 9,
    deadlineMs: 500,
    feed: true,
    afterNotice: 3,
    payload: PAYLOAD,
  },
  subscribed: { type: 'subscribed', requestId: 9, afterNotice: 3 },
  answer: { type: 'answer', requestId: 9, part: 0, parts: 1, payload: PAYLOAD },
  acknowledge: { type: 'acknowledge', requestId: 9, part: 0 },
  cancel: { type: 'cancel', requestId: 9 },
  'go-away': { type: 'go-away' },
  close: { type: 'close', kind: 'stale-incarnation' },
};
const envelopes: Readonly<Record<string, Envelope>> = {
  'envelope, IPv4': {
    client: { host: '127.0.0.1', port: 4_000 },
    service: { host: '127.0.0.2', port: 5_000 },
    packet: PAYLOAD,
  },
  'envelope, IPv6': {
    client: { host: '::1', port: 4_000 },
    service: { host: '::2', port: 5_000 },
    packet: PAYLOAD,
  },
};

testFrozenForms('managed-packets', {
  token: hexOf(token),
  'long header': hexOf(encodeLongHeader(token, FLOW_ID, PAYLOAD)),
  'short header': hexOf(encodeShortHeader(token, PAYLOAD)),
  ...Object.fromEntries(
    Object.entries(envelopes).map(([name, envelope]) => [name, hexOf(encodeEnvelope(envelope))]),
  ),
  ...Object.fromEntries(
    Object.entries(messages).map(([name, message]) => [name, hexOf(encodeMessage(message))]),
  ),
});

t.test('kept packets are read as what they say', async (t) => {
  t.same(readToken(keptBytes('managed-packets', 'token')), TOKEN_FIELDS);
  for (const [name, message] of Object.entries(messages)) {
    t.same(decodeMessage(keptBytes('managed-packets', name))._unsafeUnwrap(), message, name);
  }
  for (const [name, envelope] of Object.entries(envelopes)) {
    t.same(decodeEnvelope(keptBytes('managed-packets', name))._unsafeUnwrap(), envelope, name);
  }
});

const RECORD: MemberRecord = {
  id: 'balancer-1',
  incarnation: 3,
  status: 'alive',
  host: '127.0.0.1',
  gossipPort: 7_100,
  linkPort: 7_200,
};
const TARGET = { host: '127.0.0.2', gossipPort: 7_100, linkPort: 7_200 };
const HEADER: GossipHeader = {
  zone: 'zone-a',
  sender: RECORD,
  updates: [
    { ...RECORD, id: 'balancer-2', status: 'suspect' },
    { ...RECORD, id: 'balancer-3', status: 'dead' },
    { ...RECORD, id: 'balancer-4', status: 'left' },
  ],
  zones: [{ zone: 'zone-b', version: 2, liveCount: 1, contacts: [TARGET] }],
};
const LOAD = { connections: 1, connectionLimit: 9, busySlots: 2, slots: 8, queuedRequests: 3 };
const gossip: Readonly<Record<string, PeerDatagram>> = {
  ping: { type: 'ping', ...HEADER, sequence: 5, digest: 77 },
  'ping-request': { type: 'ping-request', ...HEADER, sequence: 5, target: TARGET },
  ack: { type: 'ack', ...HEADER, sequence: 5, digest: 77 },
  sync: { type: 'sync', ...HEADER, wantsAnswer: true },
  zones: { type: 'zones', ...HEADER, wantsAnswer: false },
  health: {
    type: 'health',
    zone: 'zone-a',
    results: [
      { backendId: 1, ageMs: 10, health: undefined, load: undefined },
      { backendId: 2, ageMs: 20, health: { incarnation: 4, state: 'starting' }, load: LOAD },
      {
        backendId: 3,
        ageMs: 20,
        health: { backendId: 3, incarnation: 4, state: 'ready' },
        load: LOAD,
      },
      { backendId: 4, ageMs: 20, health: { incarnation: 4, state: 'draining' }, load: LOAD },
    ],
  },
};
const KEY = gossipKey('cluster-key');

testFrozenForms(
  'gossip',
  Object.fromEntries(
    Object.entries(gossip).map(([name, message]) => [name, hexOf(encodeGossip(message, KEY))]),
  ),
);

t.test('kept gossip is read as what it says', async (t) => {
  for (const [name, message] of Object.entries(gossip)) {
    t.same(decodeGossip(keptBytes('gossip', name), KEY)._unsafeUnwrap(), message, name);
  }
});
