/** @file Whatever bytes come to a link port, the process goes on and serves the next link. */
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
const MAX_BYTES = 4_000;
/** MessagePack's nil, as a frame and bare. */
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

/** Links with random bytes, and with frames of good length whose content is no message of ours. */
async function sendNoise(to: Address): Promise<void> {
  const random = seededRandom(1);
  for (let index = 0; index < CONNECTIONS; index += 1) {
    const socket = connect(to.port, to.host);
    socket.on('error', () => undefined);
    const noise = randomFillSync(Buffer.alloc(1 + random.nextInt(MAX_BYTES)));
    const contents = [encodeFrame({ type: 'peer' }), encodeFrame([index, 'x']), NIL, noise];
    socket.end(contents[index % contents.length] ?? noise);
    await once(socket, 'close');
  }
}

t.test('300 links with random bytes, then a good one', async (t) => {
  const taken: unknown[] = [];
  const server = await listenForLinks(
    { host: '127.0.0.1', port: 0 },
    {
      onMessage: (message) => {
        const parsed = parseControlLinkMessage(message);
        if (parsed !== undefined) {
          taken.push(parsed);
        }
        return parsed !== undefined;
      },
      onClose: () => undefined,
    },
  );
  t.teardown(() => server.close());
  await sendNoise(server.address);
  t.same(taken, [], 'nothing of it was taken');
  const good = connect(server.address.port, '127.0.0.1');
  good.write(encodeFrame(ANNOUNCEMENT));
  while (taken.length === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  good.destroy();
  t.match(taken[0], ANNOUNCEMENT);
});

interface ReadyLine {
  readonly linkAddress: Address;
}

t.test('a control machine as a process goes on after 300 links with random bytes', async (t) => {
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
  const process_ = spawn(process.execPath, ['bin/amberlift.js', 'control', ...flags], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let isEnded = false;
  process_.on('exit', () => {
    isEnded = true;
  });
  t.teardown(async () => {
    process_.kill('SIGKILL');
    await rm(folder, { recursive: true, force: true });
  });
  const [line] = (await once(process_.stdout, 'data')) as [Buffer];
  const { linkAddress } = JSON.parse(line.toString('utf8')) as ReadyLine;
  await sendNoise(linkAddress);
  t.notOk(isEnded, 'it runs on');
  const socket = connect(linkAddress.port, linkAddress.host);
  await once(socket, 'connect');
  socket.destroy();
});
