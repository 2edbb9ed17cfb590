/** @file Numbers of forwarded calls: another for each call and each start, whole on the wire at both ends of the range. */
import t from 'tap';
import { encodeFrame, FrameDecoder } from '../../../src/shared/common/frame-codec.js';
import {
  createForwardIds,
  START_BOUND,
  startNumberOf,
} from '../../../src/registered/group/calls/forward-ids.js';
import { parseControlInbound } from '../../../src/registered/group/message-schemas.js';

const CALLS = 1_000;

function firstIds(start: number): number[] {
  const ids = createForwardIds(startNumberOf(start));
  return Array.from({ length: CALLS }, () => ids.next());
}

/** The number as another process reads it in a reply; undefined where the message is refused. */
function travelled(forwardId: number): number | undefined {
  const sent = { type: 'forward-reply', forwardId, answer: { type: 'committed' } };
  const decoded = new FrameDecoder().push(encodeFrame(sent));
  const [message] = decoded.type === 'malformed' ? [] : decoded.messages;
  const parsed = parseControlInbound(message);
  return parsed?.type === 'forward-reply' ? parsed.forwardId : undefined;
}

t.test('no two calls have one number, in one start or in several', (t) => {
  const starts = [0, 1, 2, START_BOUND - 2, START_BOUND - 1];
  const ids = starts.flatMap(firstIds);
  t.equal(new Set(ids).size, starts.length * CALLS);
  t.end();
});

t.test('a start knows its own numbers', (t) => {
  const one = createForwardIds(startNumberOf(7));
  const other = createForwardIds(startNumberOf(8));
  t.equal(one.isOfThisStart(one.next()), true);
  t.equal(one.isOfThisStart(other.next()), false);
  t.equal(one.isOfThisStart(1), false, 'as numbers were before they named the start');
  t.end();
});

t.test('numbers of the first and of the last start come back as they went', (t) => {
  for (const start of [0, START_BOUND - 1]) {
    const [id = Number.NaN] = firstIds(start);
    t.equal(travelled(id), id);
    t.ok(Number.isSafeInteger(id));
  }
  t.end();
});
