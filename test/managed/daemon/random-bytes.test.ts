/** @file Guards against crashes of a link server on malformed input; it must keep accepting links. */
import { spawn } from 'node:child_process';
import { randomFillSync } from 'node:crypto';
import { once } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import t from 'tap';
import type { Address } from '../../../src/shared/common/address.js';
import { encodeFrame } from '../../../src/shared/common/frame-codec.js';
import { seededRandom } from '../../../src/shared/common/random.js';
import { parseControlLinkMessage } from '../../../src/managed/daemon/link-schemas.js';
import { listenForLinks } from '../../../src/managed/daemon/message-link.js';

const CONNECTIONS = 300;
const MAX_RANDOM_BYTES = 4_000;
/** A frame that contains only the MessagePack nil value. */
const NIL = Buffer.from([0, 0, 0, 1, 0xc0]);
const ANNOUNCEMENT = {
  type: 'peer',
  proof: 'p',
  from: { nodeId: 'c1', storageId: 's1' },
  replyTo: { host: '127.0.0.1', port: 1 },
  to: { nodeId: 'c2' },
  message: {
    type: 'announcement',
    operatorAddress: { host: '127.0.0.1', port: 2 },
    wantsAnswer: true,
  },
};

/** Opens links that send random bytes, or well-formed frames with invalid messages. */
async function sendInvalidData(to: Address): Promise<void> {
  const random = seededRandom(1);
  for (let index = 0; index < CONNECTIONS; index += 1) {
    const socket = connect(to.port, to.host);
    socket.on('error', () => undefined);
    const randomBytes = randomFillSync(Buffer.alloc(1 + random.nextInt(MAX_RANDOM_BYTES)));
    const contents = [encodeFrame({ type: 'peer' }), encodeFrame([index, 'x']), NIL, randomBytes];
    socket.end(contents[index % contents.length] ?? randomBytes);
    await once(socket, 'close');
  }
}

t.test('a valid link is served after 300 links with malformed data', async (t) => {
  const acceptedMessages: unknown[] = [];
  const server = await listenForLinks(
    { host: '127.0.0.1', port: 0 },
    {
      onMessage: (message) => {
        const parsed = parseControlLinkMessage(message);
        if (parsed !== undefined) {
          acceptedMessages.push(parsed);
        }
        return parsed !== undefined;
      },
      onClose: () => undefined,
    },
  );
  t.teardown(() => server.close());
  await sendInvalidData(server.address);
  t.same(acceptedMessages, [], 'no malformed message is accepted');
  const validSocket = connect(server.address.port, '127.0.0.1');
  validSocket.write(encodeFrame(ANNOUNCEMENT));
  while (acceptedMessages.length === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  validSocket.destroy();
  t.match(acceptedMessages[0], ANNOUNCEMENT);
});

interface ReadyLine {
  readonly linkAddress: Address;
}

t.test('a control process keeps running after 300 links with malformed data', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'amberlift-noise-'));
  const flags = [
    'nodeId=c1',
    `dataFolder=${folder}`,
    'clusterKey=cluster-key',
    'logLevel=silent',
    'control.adminToken=admin-token',
    'control.operators=[{name: one, token: one-token}]',
    'control.linkAddress=127.0.0.1:0',
    'control.operatorAddress=127.0.0.1:0',
  ].flatMap((setting) => ['--set', setting]);
  const controlProcess = spawn(process.execPath, ['bin/amberlift.js', 'control', ...flags], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let hasExited = false;
  controlProcess.on('exit', () => {
    hasExited = true;
  });
  t.teardown(async () => {
    controlProcess.kill('SIGKILL');
    await rm(folder, { recursive: true, force: true });
  });
  const [line] = (await once(controlProcess.stdout, 'data')) as [Buffer];
  const { linkAddress } = JSON.parse(line.toString('utf8')) as ReadyLine;
  await sendInvalidData(linkAddress);
  t.notOk(hasExited, 'the process is still running');
  const socket = connect(linkAddress.port, linkAddress.host);
  await once(socket, 'connect');
  socket.destroy();
});
