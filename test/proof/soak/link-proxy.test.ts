/** @file The link proxy forwards bytes, blocks one direction, throttles, silences and resets links. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import t, { type Test } from 'tap';
import { startLinkProxy, type LinkProxy } from '../../../src/proof/soak/link-proxy.js';

const HOST = '127.0.0.1';

interface Link {
  readonly client: Socket;
  readonly upstream: Socket;
}

interface ProxiedLink extends Link {
  readonly proxy: LinkProxy;
  /** Opens another link through the same proxy. */
  openAnotherLink(): Promise<Link>;
}

async function freePort(): Promise<number> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Opens a link through a new proxy to a new server. */
async function openProxiedLink(test: Test): Promise<ProxiedLink> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const proxyAddress = { host: HOST, port: await freePort() };
  const { port } = server.address() as AddressInfo;
  const proxy = await startLinkProxy(proxyAddress, { host: HOST, port });
  const opened: Socket[] = [];
  const openAnotherLink = async (): Promise<Link> => {
    const accepted = once(server, 'connection');
    const client = connect(proxyAddress.port, proxyAddress.host);
    const [upstream] = (await accepted) as [Socket];
    [client, upstream].forEach((socket) => socket.on('error', () => undefined));
    opened.push(client, upstream);
    return { client, upstream };
  };
  test.teardown(async () => {
    opened.forEach((socket) => socket.destroy());
    await proxy.close();
    await new Promise((resolve) => server.close(resolve));
  });
  return { proxy, ...(await openAnotherLink()), openAnotherLink };
}

/** @returns the next bytes of a socket as text */
async function next(socket: Socket): Promise<string> {
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  return bytes.toString();
}

t.test('bytes pass in both directions', async (t) => {
  const { client, upstream } = await openProxiedLink(t);
  client.write('there');
  t.equal(await next(upstream), 'there');
  upstream.write('back');
  t.equal(await next(client), 'back');
});

t.test('a blocked direction does not block the other one and is delivered later', async (t) => {
  const { proxy, client, upstream } = await openProxiedLink(t);
  const receivedUpstream: string[] = [];
  upstream.on('data', (bytes: Buffer) => receivedUpstream.push(bytes.toString()));
  proxy.setMode({ type: 'silent', towards: 'machine' });
  client.write('held');
  for (const word of ['one', 'two', 'three']) {
    upstream.write(word);
    t.equal(await next(client), word);
  }
  t.same(receivedUpstream, [], 'nothing arrived while three messages passed the other way');
  proxy.setMode({ type: 'open' });
  while (receivedUpstream.length === 0) {
    await once(upstream, 'data');
  }
  t.equal(receivedUpstream.join(''), 'held');
});

t.test('a slow link loses nothing and keeps the order', async (t) => {
  const { proxy, client, upstream } = await openProxiedLink(t);
  proxy.setMode({ type: 'slow', bytesPerS: 40_000, delayMs: 5 });
  const sent = Array.from({ length: 400 }, (_, at) => `${at} `).join('');
  client.write(sent);
  let received = '';
  while (received.length < sent.length) {
    received += await next(upstream);
  }
  t.equal(received, sent);
});

t.test('a reset closes the link at both ends', async (t) => {
  const { proxy, client, upstream } = await openProxiedLink(t);
  client.write('there');
  await next(upstream);
  const ends = [client, upstream].map(
    (socket) => new Promise<void>((resolve) => socket.once('close', () => resolve())),
  );
  proxy.resetAllLinks();
  t.equal((await Promise.all(ends)).length, 2);
});

t.test('silenced links stay open without data, and a new link works', async (t) => {
  const { proxy, client, upstream, openAnotherLink: joinAgain } = await openProxiedLink(t);
  const received: string[] = [];
  upstream.on('data', (bytes: Buffer) => received.push(bytes.toString()));
  let isUpstreamClosed = false;
  upstream.on('close', () => (isUpstreamClosed = true));
  proxy.silenceOpenLinks();
  client.write('lost');
  const later = await joinAgain();
  later.client.write('there');
  t.equal(await next(later.upstream), 'there');
  client.destroy();
  await once(client, 'close');
  later.upstream.write('back');
  t.equal(await next(later.client), 'back');
  t.same(received, []);
  t.equal(isUpstreamClosed, false, 'the other end does not notice the close');
});
