/** @file Links between the system's own processes. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import { connectLink } from '../../src/daemon/message-link.js';

const MESSAGE_BYTES = 1024 * 1024;

t.test('a link whose other end reads nothing is closed before memory runs out', async (t) => {
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
  let sent = 0;
  while (!closed.signal.aborted && sent < 100) {
    link.send({ type: 'part', data: Buffer.alloc(MESSAGE_BYTES) });
    sent += 1;
    await setImmediate();
  }
  t.ok(closed.signal.aborted, `closed after ${sent} messages of 1 MiB`);
});
