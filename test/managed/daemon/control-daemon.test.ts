/** @file Tests a cluster of control daemons with real storage and links: members, commands and restarts. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { answerFor } from '../../../src/shared/common/error-kinds.js';
import { OperatorClient } from '../../../src/tools/client/operator-client.js';
import { formatAddress } from '../../../src/shared/common/address.js';
import { setLogLevel } from '../../../src/shared/common/logger.js';
import type { OperatorCommand } from '../../../src/managed/control/commands.js';
import {
  startControlDaemon,
  type ControlDaemon,
} from '../../../src/managed/daemon/control-daemon.js';
import { sendJson } from '../../../src/managed/daemon/http-json.js';
import { loadSettings } from '../../../src/managed/settings/load-settings.js';

const ADMIN_TOKEN = 'admin-token';
const OPERATOR_TOKEN = 'operator-token';
const POLL_MS = 20;

setLogLevel('silent');

async function startDaemon(
  folder: string,
  nodeId: string,
  overrides: string[],
): Promise<ControlDaemon> {
  const settings = loadSettings({
    overrides: [
      `nodeId=${nodeId}`,
      `dataFolder=${join(folder, nodeId)}`,
      'clusterKey=cluster-key',
      `control.adminToken=${ADMIN_TOKEN}`,
      `control.operators=[{name: tarjeta, token: ${OPERATOR_TOKEN}}]`,
      ...overrides,
    ],
  });
  const daemon = await startControlDaemon(settings._unsafeUnwrap());
  return daemon._unsafeUnwrap();
}

function peersFlag(leader: ControlDaemon): string {
  return `control.peers=[{nodeId: c1, linkAddress: "${formatAddress(leader.linkAddress)}"}]`;
}

async function requestMembers(leader: ControlDaemon, body?: object, bearerToken = ADMIN_TOKEN) {
  const response = await sendJson({
    to: leader.operatorAddress,
    method: body === undefined ? 'GET' : 'POST',
    path: '/v1/members',
    body,
    bearerToken,
    timeoutMs: 3_000,
  });
  return response._unsafeUnwrap();
}

/** Waits until one of the daemons leads; the leader may change at any time on a busy host. */
async function leaderOf(daemons: Iterable<ControlDaemon>): Promise<ControlDaemon> {
  for (;;) {
    const leader = [...daemons].find(({ state }) => state.consensus.role.name === 'leader');
    if (leader !== undefined) {
      return leader;
    }
    await sleep(POLL_MS);
  }
}

async function changeMembersUntilAccepted(
  daemons: Iterable<ControlDaemon>,
  body: object,
): Promise<void> {
  while ((await requestMembers(await leaderOf(daemons), body)).status !== 200) {
    await sleep(POLL_MS);
  }
}

function defineService(service: string, host: string): OperatorCommand {
  const address = { host, port: 7000 };
  return { type: 'define-service', service, address, policy: 'adaptive', limits: {} };
}

function serviceNames(daemon: ControlDaemon): string[] {
  return [...daemon.state.cluster.routing.services.values()].map(({ name }) => name);
}

t.test('three control machines', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'amberlift-control-'));
  const c1 = await startDaemon(folder, 'c1', []);
  const c2 = await startDaemon(folder, 'c2', [peersFlag(c1)]);
  const c3 = await startDaemon(folder, 'c3', [peersFlag(c1)]);
  const foreignDaemon = await startDaemon(folder, 'c4', [peersFlag(c1), 'clusterKey=another-key']);
  const running = new Set([c1, c2, c3]);
  t.teardown(async () => {
    await Promise.all([...running, foreignDaemon].map((daemon) => daemon.stop()));
    await rm(folder, { recursive: true });
  });
  const sendCommand = (to: Iterable<ControlDaemon>, commandId: string, command: OperatorCommand) =>
    new OperatorClient({
      controlAddresses: [...to].map(({ operatorAddress }) => operatorAddress),
      bearerToken: OPERATOR_TOKEN,
    }).send(commandId, command);

  await t.test('only the admin token permits membership changes', async (t) => {
    const change = { type: 'add-member', nodeId: 'c2' };
    const unauthorized = { body: { error: { kind: 'unauthorized' } } };
    t.match(await requestMembers(c1, change, OPERATOR_TOKEN), unauthorized);
    const unknown = { body: { error: { kind: 'not-found' } } };
    t.match(await requestMembers(c1, { type: 'add-member', nodeId: 'c9' }), unknown);
    for (const nodeId of ['c2', 'c3']) {
      await changeMembersUntilAccepted(running, { type: 'add-member', nodeId });
      await changeMembersUntilAccepted(running, { type: 'promote-member', nodeId });
    }
    const { body } = await requestMembers(await leaderOf(running));
    t.match(body, { members: [{ nodeId: 'c1' }, { nodeId: 'c2' }, { nodeId: 'c3' }] });
  });

  await t.test('a machine with another cluster key is rejected and does not join', async (t) => {
    while (foreignDaemon.state.join.refusal === undefined) {
      await sleep(POLL_MS);
    }
    t.match(foreignDaemon.state.join.refusal, /cluster key/);
    t.equal(c1.state.join.announced.has('c4'), false);
  });

  await t.test('any machine accepts commands, also after the leader has stopped', async (t) => {
    const followers = new Set(running);
    followers.delete(await leaderOf(running));
    const first = await sendCommand(followers, 'id-1', defineService('authd', '127.1.0.1'));
    t.ok(first.isOk(), 'a follower redirects to the leader');
    const stopped = await leaderOf(running);
    await stopped.stop();
    running.delete(stopped);
    const second = await sendCommand(
      [stopped, ...running],
      'id-2',
      defineService('board-api', '127.1.0.2'),
    );
    t.ok(second.isOk(), 'a stopped machine is skipped');
    const third = await sendCommand(
      [foreignDaemon, ...running],
      'id-2',
      defineService('board-api', '127.1.0.2'),
    );
    t.ok(third.isOk(), 'a machine without operators is skipped');
    const repeated = await sendCommand(running, 'id-1', defineService('authd', '127.1.0.1'));
    t.strictSame(repeated, first, 'a repeated command gets the original outcome');
    t.strictSame(serviceNames(await leaderOf(running)), ['authd', 'board-api']);
  });

  await t.test('the first member restarts while another machine leads', async (t) => {
    if (running.delete(c1)) {
      await c1.stop();
    }
    const restarted = await startDaemon(folder, 'c1', []);
    running.add(restarted);
    t.ok(restarted.state.consensus.commitIndex > 0, 'ready as a follower');
  });
});

t.test('a restarted machine is ready after it has applied all accepted commands', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'amberlift-control-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const before = await startDaemon(folder, 'c1', []);
  const outcomes = await Promise.all(
    Array.from({ length: 50 }, (_, number) =>
      before.propose({
        commandId: `id-${number}`,
        operator: 'tarjeta',
        command: defineService(`service-${number}`, `127.1.0.${number}`),
      }),
    ),
  );
  t.ok(outcomes.every(({ accepted }) => accepted));
  await before.stop();
  const after = await startDaemon(folder, 'c1', []);
  t.equal(serviceNames(after).length, 50);
  await after.stop();
});

t.test('a control machine without a cluster answers operators with not-leader', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'amberlift-control-'));
  const peers = 'control.peers=[{nodeId: c0, linkAddress: "127.0.0.1:9"}]';
  const daemon = await startDaemon(folder, 'c1', [peers]);
  const response = await sendJson({
    to: daemon.operatorAddress,
    method: 'POST',
    path: '/v1/query',
    body: { query: { type: 'services' } },
    bearerToken: OPERATOR_TOKEN,
    timeoutMs: 3_000,
  });
  t.match(response._unsafeUnwrap(), { status: 421, body: { error: { kind: 'not-leader' } } });
  t.ok(answerFor('not-leader').retryable, 'clients try the next machine');
  await daemon.stop();
  await rm(folder, { recursive: true });
});
