/** @file Links notice by themselves that the other end is gone or never was there. */
import { once } from 'node:events';
import { Socket } from 'node:net';
import t from 'tap';
import { frameLinkOptions, FrameLinks } from '../../../src/registered/daemon/frame-links.js';
import { widestTiming } from '../../../src/registered/group/timing.js';

const OPTIONS = frameLinkOptions(widestTiming);
const ANYWHERE = { host: '127.0.0.1', port: 0 };

t.test(
  'a connection that never stands is given up, however long a link may be silent',
  async (t) => {
    const patient = { ...OPTIONS, silentAfterMs: Number.POSITIVE_INFINITY };
    const links = new FrameLinks(patient, () => new Socket());
    t.teardown(() => links.close());
    await new Promise<void>((resolve) => {
      links.connect(ANYWHERE, { onMessage: () => true, onClose: () => resolve() });
    });
    t.pass();
  },
);

t.test(
  'a message goes over, and a link that brings something else is closed and counted',
  async (t) => {
    const links = new FrameLinks(OPTIONS);
    t.teardown(() => links.close());
    const taken: unknown[] = [];
    const address = await links.listen(ANYWHERE, {
      onMessage: (message) => {
        taken.push(message);
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
    t.same(taken, [{ type: 'hello' }, ['text']]);
    t.equal(links.malformedLinks, 1);
  },
);
