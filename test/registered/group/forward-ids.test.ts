/** @file Guards against forward IDs that collide between calls or starts, or that change when encoded in a message. */
import t from 'tap';
import { encodeFrame, FrameDecoder } from '../../../src/shared/common/frame-codec.js';
import {
  createForwardIds,
  START_BOUND,
  startNumberOf,
} from '../../../src/registered/group/calls/forward-ids.js';
import { parseControlInbound } from '../../../src/registered/group/message-schemas.js';

const CALL_COUNT = 1_000;

function firstIds(start: number): number[] {
  const ids = createForwardIds(startNumberOf(start));
  return Array.from({ length: CALL_COUNT }, () => ids.next());
}

/** Encodes and decodes a reply with this ID; undefined if the message is refused. */
function decodedForwardId(forwardId: number): number | undefined {
  const sent = { type: 'forward-reply', forwardId, answer: { type: 'committed' } };
  const decoded = new FrameDecoder().push(encodeFrame(sent));
  const [message] = decoded.type === 'malformed' ? [] : decoded.messages;
  const parsed = parseControlInbound(message);
  return parsed?.type === 'forward-reply' ? parsed.forwardId : undefined;
}

t.test('IDs are unique within a start and across starts', (t) => {
  const starts = [0, 1, 2, START_BOUND - 2, START_BOUND - 1];
  const ids = starts.flatMap(firstIds);
  t.equal(new Set(ids).size, starts.length * CALL_COUNT);
  t.end();
});

t.test('a start recognizes the IDs that it issued', (t) => {
  const one = createForwardIds(startNumberOf(7));
  const other = createForwardIds(startNumberOf(8));
  t.equal(one.isOfThisStart(one.next()), true);
  t.equal(one.isOfThisStart(other.next()), false);
  t.equal(one.isOfThisStart(1), false, 'an ID of the former format, without a start number');
  t.end();
});

t.test('IDs of the lowest and the highest start number survive encoding', (t) => {
  for (const start of [0, START_BOUND - 1]) {
    const [id = Number.NaN] = firstIds(start);
    t.equal(decodedForwardId(id), id);
    t.ok(Number.isSafeInteger(id));
  }
  t.end();
});
