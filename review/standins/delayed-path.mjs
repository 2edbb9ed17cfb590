// A path between one caller and a control machine on which bytes are held up until they are released, as by a cut.
import { connect, createServer } from 'node:net';
import { once } from 'node:events';

export async function startDelayedPath(ip, to) {
  const held = [];
  let isReleased = false;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      held.push(chunk);
    });
  });
  server.listen(0, ip);
  await once(server, 'listening');
  return {
    ip,
    port: server.address().port,
    heldBytes: () => held.reduce((sum, { length }) => sum + length, 0),
    /** Delivers what was held. @returns the first line of the answer, which reaches nobody */
    async release() {
      if (isReleased) {
        return '';
      }
      isReleased = true;
      const socket = connect(to.port, to.ip);
      socket.on('error', () => undefined);
      socket.write(Buffer.concat(held));
      const [answer] = await once(socket, 'data');
      socket.destroy();
      return answer.toString('latin1').split('\r\n')[0];
    },
    end: () => server.close(),
  };
}
