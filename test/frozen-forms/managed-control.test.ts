/** @file Guards links and stored state of managed control machines against changed names: machines of two versions talk. */
import t from 'tap';
import { z } from 'zod';
import { encodeFrame, FrameDecoder } from '../../src/shared/common/frame-codec.js';
import { applyCommand } from '../../src/managed/control/apply-command.js';
import {
  decodeClusterState,
  encodeClusterState,
} from '../../src/managed/control/cluster-snapshot.js';
import { emptyClusterState, type ClusterState } from '../../src/managed/control/cluster-state.js';
import { decodeCommandEntry, encodeCommandEntry } from '../../src/managed/control/command-codec.js';
import { commandHash, operatorTokenHash } from '../../src/managed/control/command-hash.js';
import {
  operatorCommandSchema,
  SYSTEM_OPERATOR,
  type CommandEntry,
  type OperatorCommand,
  type SystemCommand,
} from '../../src/managed/control/commands.js';
import { snapshotOf } from '../../src/managed/control/config-delta.js';
import {
  clusterProof,
  type PeerEnvelope,
  type PeerMessage,
} from '../../src/managed/control/peer-messages.js';
import { operatorQuerySchema } from '../../src/managed/control/queries.js';
import type { Backend, Service, TokenKey } from '../../src/managed/control/routing-config.js';
import {
  parseBalancerLinkMessage,
  parseControlLinkMessage,
  parseFeedMessage,
} from '../../src/managed/daemon/link-schemas.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../../src/managed/dissemination/link-messages.js';
import { consensusMessages } from './consensus-forms.js';
import { hexOf, keptBytes, testFrozenForms } from './frozen-forms.js';

const ADDRESS = { host: '127.0.0.1', port: 7_001 };
const HEALTH_ADDRESS = { host: '127.0.0.1', port: 7_002 };
const POSITION = { term: 2, index: 9 };
const SECRET = Buffer.alloc(16, 7);
const AT_MS = 1_790_000_000_000;
const SUBTREE = {
  members: [{ balancerId: 'balancer-2', zone: 'zone-a', isLinked: true }],
  commonIndex: 9,
  laggards: [{ balancerId: 'balancer-3', index: 7 }],
};

function envelopeOf(message: PeerMessage): PeerEnvelope {
  return {
    type: 'peer',
    proof: clusterProof('cluster-key'),
    clusterId: 'cluster-1',
    from: { nodeId: 'c1', storageId: 'disk-1' },
    replyTo: ADDRESS,
    to: { nodeId: 'c2', storageId: 'disk-2' },
    message,
  };
}

const peers: Readonly<Record<string, PeerEnvelope>> = {
  ...Object.fromEntries(
    Object.entries(consensusMessages).map(([name, message]) => [name, envelopeOf(message)]),
  ),
  announcement: envelopeOf({
    type: 'announcement',
    operatorAddress: HEALTH_ADDRESS,
    wantsAnswer: true,
  }),
  'announcement of a machine without a cluster': {
    type: 'peer',
    proof: clusterProof('cluster-key'),
    from: { nodeId: 'c1', storageId: 'disk-1' },
    replyTo: ADDRESS,
    to: { nodeId: 'c2' },
    message: { type: 'announcement', operatorAddress: HEALTH_ADDRESS, wantsAnswer: false },
  },
  'peer-refusal': envelopeOf({ type: 'peer-refusal', kind: 'wrong-cluster', reason: 'why' }),
};

const reports: Readonly<Record<string, BalancerToControlMessage>> = {
  subscribe: {
    type: 'subscribe',
    clusterKey: 'cluster-key',
    balancerId: 'balancer-1',
    zone: 'zone-a',
    position: POSITION,
    sentAtMs: 100,
    subtree: SUBTREE,
  },
  'subscribe without a subtree': {
    type: 'subscribe',
    clusterKey: 'cluster-key',
    balancerId: 'balancer-1',
    zone: 'zone-a',
    position: POSITION,
    sentAtMs: 100,
  },
  'acknowledge without a subtree': { type: 'acknowledge', position: POSITION, sentAtMs: 100 },
  acknowledge: { type: 'acknowledge', position: POSITION, sentAtMs: 100, subtree: SUBTREE },
};

const service: Service = {
  id: 1,
  name: 'alpha',
  owner: 'tarjeta',
  address: ADDRESS,
  policy: 'adaptive',
  limits: { opensPerSecond: 100, connectionsPerBackend: 50 },
  version: 3,
};
const backend: Backend = {
  id: 2,
  serviceId: 1,
  address: ADDRESS,
  healthAddress: HEALTH_ADDRESS,
  zone: 'zone-a',
  adminState: 'draining',
};
const key: TokenKey = { id: 1, secret: SECRET, state: 'current' };

const feeds: Readonly<Record<string, ControlToBalancerMessage>> = {
  heartbeat: {
    type: 'heartbeat',
    committed: POSITION,
    lease: { askedAtMs: 100, remainingMs: 9_000, floorIndex: 8 },
    leader: ADDRESS,
    subtreeSize: 3,
  },
  'heartbeat without a lease': { type: 'heartbeat', committed: POSITION },
  'update, delta': {
    type: 'update',
    update: {
      type: 'delta',
      from: POSITION,
      to: { term: 2, index: 12 },
      changes: [
        { type: 'service-set', service },
        { type: 'service-removed', serviceId: 4 },
        { type: 'backend-set', backend },
        { type: 'backend-removed', backendId: 5 },
        { type: 'key-set', key },
        { type: 'key-removed', keyId: 6 },
      ],
    },
  },
  'update, snapshot': {
    type: 'update',
    update: snapshotOf(
      {
        services: new Map([[1, service]]),
        backends: new Map([[2, backend]]),
        keys: new Map([[1, key]]),
      },
      POSITION,
    ),
  },
  'link-refused': { type: 'link-refused', kind: 'wrong-cluster' },
  'health-state': {
    type: 'health-state',
    results: [
      {
        backendId: 2,
        ageMs: 10,
        health: { backendId: 2, incarnation: 4, state: 'ready' },
        load: { connections: 1, connectionLimit: 9, busySlots: 2, slots: 8, queuedRequests: 3 },
      },
    ],
  },
};

const operatorCommands: readonly OperatorCommand[] = [
  {
    type: 'define-service',
    service: 'alpha',
    address: ADDRESS,
    policy: 'random',
    limits: { opensPerSecond: 100 },
  },
  {
    type: 'add-backend',
    service: 'alpha',
    address: ADDRESS,
    healthAddress: HEALTH_ADDRESS,
    zone: 'zone-a',
    basedOnVersion: 1,
  },
  {
    type: 'add-backend',
    service: 'alpha',
    address: { ...ADDRESS, port: 7_003 },
    healthAddress: { ...HEALTH_ADDRESS, port: 7_004 },
    zone: 'zone-a',
  },
  { type: 'change-service', service: 'alpha', policy: 'maglev', limits: {}, basedOnVersion: 3 },
  { type: 'drain-backend', backendId: 1 },
  { type: 'cancel-drain', backendId: 1 },
  { type: 'retire-backend', backendId: 2 },
  { type: 'plan-change', when: { atMs: AT_MS }, change: { type: 'drain-backend', backendId: 1 } },
  { type: 'plan-change', when: { inMs: 500 }, change: { type: 'retire-backend', backendId: 1 } },
  { type: 'cancel-plan', planId: 1 },
  { type: 'retire-service', service: 'beta' },
];
const systemCommands: readonly SystemCommand[] = [
  {
    type: 'set-operators',
    operators: [
      {
        name: 'tarjeta',
        tokenHash: operatorTokenHash('token'),
        addressRanges: ['127.0.0.0/8:7000-7999'],
      },
    ],
  },
  { type: 'set-token-key', id: 1, secret: SECRET, state: 'current' },
  { type: 'set-token-key', id: 2, secret: SECRET, state: 'next' },
  { type: 'promote-token-key', id: 2 },
  { type: 'remove-token-key', id: 1 },
  { type: 'release-addresses', fencedIndex: 3 },
  { type: 'run-planned-change', operator: 'tarjeta', planId: 2 },
];
const entries: readonly CommandEntry[] = [
  ...systemCommands.map((command, at) => ({
    commandId: `system-${at}`,
    operator: SYSTEM_OPERATOR,
    command,
    atMs: AT_MS + at,
  })),
  ...operatorCommands.map((command, at) => ({
    commandId: at % 2 === 0 ? `20260921T130000Z-${at}` : `id-${at}`,
    operator: 'tarjeta',
    command,
    atMs: AT_MS + 100 + at,
  })),
];

/** An entry as versions without a replicated clock wrote it. */
const entryWithoutTime: CommandEntry = {
  commandId: 'id-1',
  operator: 'tarjeta',
  command: { type: 'drain-backend', backendId: 1 },
};

/** The state with each entry applied in turn; it holds records of accepted and refused commands. */
function stateAfterAll(): ClusterState {
  const state = emptyClusterState();
  entries.forEach((entry, at) => applyCommand(state, { index: at + 1, term: 2 }, entry));
  return state;
}

function framesOf(messages: Readonly<Record<string, object>>): Record<string, string> {
  return Object.fromEntries(
    Object.entries(messages).map(([name, message]) => [name, hexOf(encodeFrame(message))]),
  );
}

function messageOf(file: string, name: string): unknown {
  const decoded = new FrameDecoder().push(keptBytes(file, name));
  return decoded.type === 'messages' ? decoded.messages[0] : undefined;
}

const nameOf = ({ command }: CommandEntry, at: number) => `${at} ${command.type}`;
const schemaOf = (schema: z.ZodType) =>
  z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' });

testFrozenForms('managed-peer-links', framesOf(peers));
testFrozenForms('managed-balancer-links', framesOf({ ...reports, ...feeds }));
testFrozenForms('managed-stored', {
  ...Object.fromEntries(
    entries.map((entry, at) => [nameOf(entry, at), hexOf(encodeCommandEntry(entry))]),
  ),
  'entry without a time': hexOf(encodeCommandEntry(entryWithoutTime)),
  snapshot: hexOf(encodeClusterState(stateAfterAll())),
  'hashes of commands': entries.map(({ command }) => commandHash(command)),
});
testFrozenForms('managed-calls', {
  commands: schemaOf(operatorCommandSchema),
  queries: schemaOf(operatorQuerySchema),
});

t.test('kept link messages are read as what they say', async (t) => {
  for (const [name, message] of Object.entries(peers)) {
    t.same(parseControlLinkMessage(messageOf('managed-peer-links', name)), message, name);
  }
  for (const [name, message] of Object.entries(reports)) {
    t.same(parseBalancerLinkMessage(messageOf('managed-balancer-links', name)), message, name);
  }
  for (const [name, message] of Object.entries(feeds)) {
    t.same(parseFeedMessage(messageOf('managed-balancer-links', name)), message, name);
  }
});

t.test('kept commands and snapshots are read as what they say', async (t) => {
  entries.forEach((entry, at) => {
    t.same(decodeCommandEntry(keptBytes('managed-stored', nameOf(entry, at))), entry);
  });
  t.same(decodeCommandEntry(keptBytes('managed-stored', 'entry without a time')), entryWithoutTime);
  const restored = decodeClusterState(keptBytes('managed-stored', 'snapshot'));
  t.same(restored, stateAfterAll());
});
