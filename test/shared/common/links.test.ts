/** @file Link IDs must not be reused, and broken outbound links must be reopened with exponential backoff. */
import t from 'tap';
import {
  createOutboundLinks,
  type OutboundLink,
} from '../../../src/shared/common/outbound-links.js';
import { createLinkTable } from '../../../src/shared/common/link-table.js';

t.test('a link keeps its ID until it is removed, and IDs are not reused', async (t) => {
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

const TARGET = { host: '127.0.0.1', port: 1 };

/** Creates links that the test can make fail to open or close. */
function createDialer(firstRetryDelayMs: number, maxRetryDelayMs: number) {
  const dialer = {
    nowMs: 0,
    dialCount: 0,
    canOpen: true,
    sent: [] as object[],
    breakLink: (): void => undefined,
  };
  const links = createOutboundLinks<OutboundLink>({
    nowMs: () => dialer.nowMs,
    dial: (_to, onClose) => {
      dialer.dialCount += 1;
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
  links.send(TARGET, { number: 1 });
  links.send(TARGET, { number: 2 });
  t.equal(dialer.dialCount, 1);
  t.strictSame(dialer.sent, [{ number: 1 }, { number: 2 }]);
});

t.test('opening a link is retried after delays that double up to a limit', async (t) => {
  const { dialer, links } = createDialer(50, 200);
  dialer.canOpen = false;
  const attemptsAtMs: number[] = [];
  for (dialer.nowMs = 0; dialer.nowMs <= 800; dialer.nowMs += 10) {
    const dialCountBefore = dialer.dialCount;
    links.send(TARGET, {});
    if (dialer.dialCount > dialCountBefore) {
      attemptsAtMs.push(dialer.nowMs);
    }
  }
  t.strictSame(attemptsAtMs, [0, 50, 150, 350, 550, 750]);
});

t.test('a link that stayed open resets the retry delay', async (t) => {
  const { dialer, links } = createDialer(50, 200);
  dialer.canOpen = false;
  links.send(TARGET, {});
  dialer.nowMs = 50;
  links.send(TARGET, {});
  dialer.nowMs = 150;
  dialer.canOpen = true;
  links.send(TARGET, {});
  dialer.nowMs = 1_000;
  dialer.breakLink();
  dialer.nowMs = 1_049;
  links.send(TARGET, {});
  t.equal(dialer.dialCount, 3, 'the delay has not passed');
  dialer.nowMs = 1_050;
  links.send(TARGET, {});
  t.equal(dialer.dialCount, 4);
});

t.test('closing passes on the open links, and none is opened again', async (t) => {
  const { dialer, links } = createDialer(50, 200);
  links.send(TARGET, {});
  let ended = 0;
  links.close(() => {
    ended += 1;
  });
  dialer.nowMs = 10_000;
  links.send(TARGET, {});
  t.equal(ended, 1);
  t.equal(dialer.dialCount, 1);
});
