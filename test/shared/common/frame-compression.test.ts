/** @file Long frames travel compressed, short ones as they are, and what is no frame is refused. */
import fc from 'fast-check';
import t from 'tap';
import { encodeFrame, FrameDecoder } from '../../../src/shared/common/frame-codec.js';

const LENGTH_BYTES = 4;
const longText = JSON.stringify(
  Array.from({ length: 1_640 }, (_, at) => ({ name: `r-${at}`, host: `198.18.0.${at % 256}` })),
);

t.test('a configuration of many routes takes a fifth', async (t) => {
  const message = { type: 'document', text: longText };
  const frame = encodeFrame(message);
  t.comment(`${longText.length} bytes of text, ${frame.length} bytes of frame`);
  t.ok(frame.length * 5 < longText.length, `${frame.length}`);
  t.same(new FrameDecoder().push(frame), { type: 'messages', messages: [message] });
});

t.test('a short message, and one that does not get shorter, is sent as it is', async (t) => {
  t.equal(encodeFrame({ a: 1 }).readUInt8(0), 0);
  const noise = Buffer.from(
    Array.from({ length: 9_000 }, (_, at) => (at * at * 2_654_435_761) >>> 13),
  );
  const message = { noise };
  const [decoded] = messagesOf(encodeFrame(message));
  t.same(Buffer.from((decoded as { noise: Uint8Array }).noise), noise);
});

function messagesOf(...chunks: Buffer[]): readonly unknown[] {
  const decoder = new FrameDecoder();
  return chunks.flatMap((chunk) => {
    const decoded = decoder.push(chunk);
    return decoded.type === 'messages' ? decoded.messages : [];
  });
}

t.test('frames come out in order, wherever the stream is cut', async (t) => {
  const messages = [{ n: 1 }, { text: longText }, { n: 2 }];
  const stream = Buffer.concat(messages.map((message) => encodeFrame(message)));
  fc.assert(
    fc.property(fc.nat({ max: stream.length }), (cut) => {
      const out = messagesOf(stream.subarray(0, cut), stream.subarray(cut));
      return JSON.stringify(out) === JSON.stringify(messages);
    }),
    { seed: 5, numRuns: 60 },
  );
  t.pass();
});

t.test(
  'what inflates beyond the bound, or is not compressed at all, ends the stream',
  async (t) => {
    const frame = encodeFrame({ text: longText });
    t.equal(new FrameDecoder(longText.length / 2).push(frame).type, 'malformed');
    const broken = Buffer.from(frame);
    broken.fill(0xff, LENGTH_BYTES);
    t.equal(new FrameDecoder().push(broken).type, 'malformed');
  },
);

t.test('a decoder tells whether it is inside a frame', async (t) => {
  const decoder = new FrameDecoder();
  const frame = encodeFrame({ text: longText });
  t.notOk(decoder.isInsideFrame);
  decoder.push(frame.subarray(0, LENGTH_BYTES));
  t.notOk(decoder.isInsideFrame, 'a length alone is no progress');
  decoder.push(frame.subarray(LENGTH_BYTES, 100));
  t.ok(decoder.isInsideFrame);
  decoder.push(frame.subarray(100));
  t.notOk(decoder.isInsideFrame);
});
