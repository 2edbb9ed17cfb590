/** @file A TCP path to a control machine that holds what it is given for a time and then delivers it. */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { setTimeout } from 'node:timers';

/** Starts a path at `listenHost`; bytes reach `to` only after `delayMs`, also if their sender has ended meanwhile. */
export async function startDelayedPath({ record, listenHost, port, to, delayMs }) {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const line = bytes.toString('latin1').split('\r\n')[0];
      record(`path to ${to} holds "${line}" for ${delayMs} ms`);
      setTimeout(() => {
        const onward = connect(port, to);
        onward.on('error', () => undefined);
        onward.on('data', (answer) => {
          record(
            `late call "${line}" delivered to ${to}: ${answer.toString('latin1').split('\r\n')[0]}`,
          );
          onward.end();
        });
        onward.write(bytes);
      }, delayMs);
    });
  });
  server.listen(port, listenHost);
  await once(server, 'listening');
  return { close: () => server.close() };
}
