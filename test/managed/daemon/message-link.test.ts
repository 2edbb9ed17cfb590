/** @file Guards against unbounded send buffers on links whose peer does not read. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import { seededRandom } from '../../../src/shared/common/random.js';
import { connectLink } from '../../../src/managed/daemon/message-link.js';

const MESSAGE_BYTES = 1024 * 1024;

/** Random bytes, since links compress long messages. */
function incompressibleBytes(): Buffer {
  const random = seededRandom(1);
  const bytes = Buffer.alloc(MESSAGE_BYTES);
  for (let offset = 0; offset < MESSAGE_BYTES; offset += 4) {
    bytes.writeUInt32LE(random.nextInt(2 ** 32), offset);
  }
  return bytes;
}

t.test('a link is closed when its peer reads nothing and the send buffer is full', async (t) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => sockets.push(socket.pause()));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const closed = new AbortController();
  const handlers = { onMessage: () => true, onClose: () => closed.abort() };
  const link = connectLink({ host: '127.0.0.1', port }, handlers);
  const data = incompressibleBytes();
  let sent = 0;
  while (!closed.signal.aborted && sent < 100) {
    link.send({ type: 'part', data });
    sent += 1;
    await setImmediate();
  }
  t.ok(closed.signal.aborted, `closed after ${sent} messages of 1 MiB`);
});
