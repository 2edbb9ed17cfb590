/** @file Links are closed when the connection is not established in time or an unexpected message arrives. */
import { once } from 'node:events';
import { Socket } from 'node:net';
import t from 'tap';
import { frameLinkOptions, FrameLinks } from '../../../src/registered/daemon/frame-links.js';
import { widestTiming } from '../../../src/registered/group/timing.js';

const OPTIONS = frameLinkOptions(widestTiming);
const ANY_PORT = { host: '127.0.0.1', port: 0 };

t.test(
  'a connection that is never established times out, whatever the limit for silence',
  async (t) => {
    const options = { ...OPTIONS, silentAfterMs: Number.POSITIVE_INFINITY };
    const links = new FrameLinks(options, () => new Socket());
    t.teardown(() => links.close());
    await new Promise<void>((resolve) => {
      links.connect(ANY_PORT, { onMessage: () => true, onClose: () => resolve() });
    });
    t.pass();
  },
);

t.test(
  'a message is delivered, and an unexpected one closes the link and is counted',
  async (t) => {
    const links = new FrameLinks(OPTIONS);
    t.teardown(() => links.close());
    const received: unknown[] = [];
    const address = await links.listen(ANY_PORT, {
      onMessage: (message) => {
        received.push(message);
        return !Array.isArray(message);
      },
      onClose: () => undefined,
    });
    const closed = new AbortController();
    const link = links.connect(address, { onMessage: () => true, onClose: () => closed.abort() });
    const ended = once(closed.signal, 'abort');
    link.send({ type: 'hello' });
    link.send(['text']);
    await ended;
    t.same(received, [{ type: 'hello' }, ['text']]);
    t.equal(links.malformedLinks, 1);
  },
);
