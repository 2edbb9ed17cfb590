/** @file Compression of long frames, decoding of a stream in arbitrary chunks, and rejection of malformed frames. */
import fc from 'fast-check';
import t from 'tap';
import { encodeFrame, FrameDecoder } from '../../../src/shared/common/frame-codec.js';

const LENGTH_BYTES = 4;
const longText = JSON.stringify(
  Array.from({ length: 1_640 }, (_, at) => ({ name: `r-${at}`, host: `198.18.0.${at % 256}` })),
);

t.test('a configuration of many routes compresses to less than a fifth', async (t) => {
  const message = { type: 'document', text: longText };
  const frame = encodeFrame(message);
  t.comment(`${longText.length} bytes of text, ${frame.length} bytes of frame`);
  t.ok(frame.length * 5 < longText.length, `${frame.length}`);
  t.same(new FrameDecoder().push(frame), { type: 'messages', messages: [message] });
});

t.test('short and incompressible messages are sent uncompressed', async (t) => {
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

t.test('frames are decoded in order, wherever the stream is split', async (t) => {
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
  'a payload that inflates beyond the limit or is not valid DEFLATE data ends the stream',
  async (t) => {
    const frame = encodeFrame({ text: longText });
    t.equal(new FrameDecoder(longText.length / 2).push(frame).type, 'malformed');
    const broken = Buffer.from(frame);
    broken.fill(0xff, LENGTH_BYTES);
    t.equal(new FrameDecoder().push(broken).type, 'malformed');
  },
);

t.test('a decoder reports whether it has part of a payload', async (t) => {
  const decoder = new FrameDecoder();
  const frame = encodeFrame({ text: longText });
  t.notOk(decoder.isInsideFrame);
  decoder.push(frame.subarray(0, LENGTH_BYTES));
  t.notOk(decoder.isInsideFrame, 'the header alone does not count');
  decoder.push(frame.subarray(LENGTH_BYTES, 100));
  t.ok(decoder.isInsideFrame);
  decoder.push(frame.subarray(100));
  t.notOk(decoder.isInsideFrame);
});
