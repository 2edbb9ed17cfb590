/** @file The links of a process: their IDs, and how broken ones are opened again. */
import t from 'tap';
import { createDialedLinks, type DialedLink } from '../../../src/shared/common/dialed-links.js';
import { createLinkTable } from '../../../src/shared/common/link-table.js';

t.test('a link keeps its ID until it is removed, and no ID is used again', async (t) => {
  const table = createLinkTable<object>();
  const first = {};
  const second = {};
  const firstId = table.idOf(first);
  t.equal(table.idOf(first), firstId);
  t.not(table.idOf(second), firstId);
  t.equal(table.find(firstId), first);
  t.equal(table.remove(first), firstId);
  t.equal(table.remove(first), undefined);
  t.equal(table.find(firstId), undefined);
  table.clear();
  t.strictSame([...table.all()], []);
  t.not(table.idOf(first), firstId);
});

const TO = { host: '127.0.0.1', port: 1 };

/** Links whose opening and closing the test controls. */
function createDialer(firstRetryDelayMs: number, maxRetryDelayMs: number) {
  const dialer = {
    nowMs: 0,
    dialed: 0,
    canOpen: true,
    sent: [] as object[],
    breakLink: (): void => undefined,
  };
  const links = createDialedLinks<DialedLink>({
    nowMs: () => dialer.nowMs,
    dial: (_to, onClose) => {
      dialer.dialed += 1;
      dialer.breakLink = onClose;
      return dialer.canOpen ? { send: (message) => dialer.sent.push(message) } : undefined;
    },
    firstRetryDelayMs,
    maxRetryDelayMs,
  });
  return { dialer, links };
}

t.test('one link serves all messages to an address', async (t) => {
  const { dialer, links } = createDialer(50, 1_000);
  links.send(TO, { number: 1 });
  links.send(TO, { number: 2 });
  t.equal(dialer.dialed, 1);
  t.strictSame(dialer.sent, [{ number: 1 }, { number: 2 }]);
});

t.test(
  'a link that can not be opened is tried after delays that double up to a bound',
  async (t) => {
    const { dialer, links } = createDialer(50, 200);
    dialer.canOpen = false;
    const dialedAtMs: number[] = [];
    for (dialer.nowMs = 0; dialer.nowMs <= 800; dialer.nowMs += 10) {
      const before = dialer.dialed;
      links.send(TO, {});
      if (dialer.dialed > before) {
        dialedAtMs.push(dialer.nowMs);
      }
    }
    t.strictSame(dialedAtMs, [0, 50, 150, 350, 550, 750]);
  },
);

t.test('a link that lasted begins anew with the first delay', async (t) => {
  const { dialer, links } = createDialer(50, 200);
  dialer.canOpen = false;
  links.send(TO, {});
  dialer.nowMs = 50;
  links.send(TO, {});
  dialer.nowMs = 150;
  dialer.canOpen = true;
  links.send(TO, {});
  dialer.nowMs = 1_000;
  dialer.breakLink();
  dialer.nowMs = 1_049;
  links.send(TO, {});
  t.equal(dialer.dialed, 3, 'the delay has not passed');
  dialer.nowMs = 1_050;
  links.send(TO, {});
  t.equal(dialer.dialed, 4);
});

t.test('closed links are handed over to be ended, and none opens again', async (t) => {
  const { dialer, links } = createDialer(50, 200);
  links.send(TO, {});
  let ended = 0;
  links.close(() => {
    ended += 1;
  });
  dialer.nowMs = 10_000;
  links.send(TO, {});
  t.equal(ended, 1);
  t.equal(dialer.dialed, 1);
});
