/** @file The proxy passes bytes on, holds them up in one direction, slows them down, and resets links. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import t, { type Test } from 'tap';
import { startLinkProxy, type LinkProxy } from '../../../src/proof/soak/link-proxy.js';

const HOST = '127.0.0.1';

interface Link {
  readonly near: Socket;
  readonly far: Socket;
}

interface Joined extends Link {
  readonly proxy: LinkProxy;
  /** Opens another link through the same proxy. */
  joinAgain(): Promise<Link>;
}

async function freePort(): Promise<number> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** A link through a proxy to a server. */
async function join(test: Test): Promise<Joined> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const at = { host: HOST, port: await freePort() };
  const { port } = server.address() as AddressInfo;
  const proxy = await startLinkProxy(at, { host: HOST, port });
  const opened: Socket[] = [];
  const joinAgain = async (): Promise<Link> => {
    const accepted = once(server, 'connection');
    const near = connect(at.port, at.host);
    const [far] = (await accepted) as [Socket];
    [near, far].forEach((socket) => socket.on('error', () => undefined));
    opened.push(near, far);
    return { near, far };
  };
  test.teardown(async () => {
    opened.forEach((socket) => socket.destroy());
    await proxy.close();
    await new Promise((resolve) => server.close(resolve));
  });
  return { proxy, ...(await joinAgain()), joinAgain };
}

/** @returns the next bytes of a socket as text */
async function next(socket: Socket): Promise<string> {
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  return bytes.toString();
}

t.test('bytes pass in both directions', async (t) => {
  const { near, far } = await join(t);
  near.write('there');
  t.equal(await next(far), 'there');
  far.write('back');
  t.equal(await next(near), 'back');
});

t.test(
  'what is held up in one direction does not hold up the other, and passes later',
  async (t) => {
    const { proxy, near, far } = await join(t);
    const atFar: string[] = [];
    far.on('data', (bytes: Buffer) => atFar.push(bytes.toString()));
    proxy.setMode({ type: 'silent', towards: 'machine' });
    near.write('held');
    for (const word of ['one', 'two', 'three']) {
      far.write(word);
      t.equal(await next(near), word);
    }
    t.same(atFar, [], 'nothing has come while three answers went the other way');
    proxy.setMode({ type: 'open' });
    while (atFar.length === 0) {
      await once(far, 'data');
    }
    t.equal(atFar.join(''), 'held');
  },
);

t.test('a slow link loses nothing and keeps the order', async (t) => {
  const { proxy, near, far } = await join(t);
  proxy.setMode({ type: 'slow', bytesPerS: 40_000, delayMs: 5 });
  const sent = Array.from({ length: 400 }, (_, at) => `${at} `).join('');
  near.write(sent);
  let received = '';
  while (received.length < sent.length) {
    received += await next(far);
  }
  t.equal(received, sent);
});

t.test('a reset ends the link at both ends', async (t) => {
  const { proxy, near, far } = await join(t);
  near.write('there');
  await next(far);
  const ends = [near, far].map(
    (socket) => new Promise<void>((resolve) => socket.once('close', () => resolve())),
  );
  proxy.resetAll();
  t.equal((await Promise.all(ends)).length, 2);
});

t.test('open links go silent for good and nobody is told, a new one works', async (t) => {
  const { proxy, near, far, joinAgain } = await join(t);
  const heard: string[] = [];
  far.on('data', (bytes: Buffer) => heard.push(bytes.toString()));
  let isFarClosed = false;
  far.on('close', () => (isFarClosed = true));
  proxy.silenceOpen();
  near.write('lost');
  const later = await joinAgain();
  later.near.write('there');
  t.equal(await next(later.far), 'there');
  near.destroy();
  await once(near, 'close');
  later.far.write('back');
  t.equal(await next(later.near), 'back');
  t.same(heard, []);
  t.equal(isFarClosed, false, 'the end that is left hears of nothing');
});
