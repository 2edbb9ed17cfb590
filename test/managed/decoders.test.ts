/** @file Decoders must not throw on arbitrary bytes. */
import fc from 'fast-check';
import t from 'tap';
import { decodeEnvelope, encodeEnvelope } from '../../src/managed/flow/envelope.js';
import { parseLongHeader, parseShortHeader } from '../../src/managed/flow/header.js';
import { decodeMessage, encodeMessage } from '../../src/managed/flow/messages.js';

const RUNS = { numRuns: 2_000, seed: 1 };
const bytes = fc.uint8Array({ maxLength: 200 });

t.test('arbitrary bytes decode to a value or to malformed-datagram', async (t) => {
  fc.assert(
    fc.property(bytes, (input) => {
      const results = [decodeEnvelope(input), decodeMessage(input), parseShortHeader(input, 29)];
      return results.every((result) => result.isOk() || result.error.kind === 'malformed-datagram');
    }),
    RUNS,
  );
  fc.assert(
    fc.property(bytes, (input) => {
      const kinds = ['malformed-datagram', 'unsupported-version'];
      return parseLongHeader(input).match(
        () => true,
        (error) => kinds.includes(error.kind),
      );
    }),
    RUNS,
  );
  t.pass();
});

t.test('an envelope and a message are unchanged after encoding and decoding', async (t) => {
  const envelope = {
    client: { host: '127.0.0.1', port: 4000 },
    service: { host: '127.0.0.1', port: 5000 },
    packet: Buffer.from('packet'),
  };
  t.strictSame(decodeEnvelope(encodeEnvelope(envelope))._unsafeUnwrap(), envelope);
  const message = { type: 'cancel', requestId: 9 } as const;
  t.strictSame(decodeMessage(encodeMessage(message))._unsafeUnwrap(), message);
});
