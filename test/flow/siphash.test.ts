/** @file SipHash-2-4 gives what the published algorithm gives. */
import fc from 'fast-check';
import siphash from 'siphash';
import t from 'tap';
import { sipHash } from '../../src/flow/siphash.js';

t.test('the hash of the test vector in the paper', async (t) => {
  const bytes = Uint8Array.from({ length: 15 }, (_, index) => index);
  const key = { word0: 0x03020100, word1: 0x07060504, word2: 0x0b0a0908, word3: 0x0f0e0d0c };
  const hash = { high: 0, low: 0 };
  sipHash(key, bytes, 0, bytes.length, hash);
  t.strictSame(hash, { high: 0xa129ca61, low: 0x49be45e5 });
});

t.test('the hash of any bytes is that of the siphash library, wherever they lie', async (t) => {
  const word = fc.integer({ min: 0, max: 0xffff_ffff });
  fc.assert(
    fc.property(
      fc.tuple(word, word, word, word),
      fc.uint8Array({ maxLength: 64 }),
      fc.nat({ max: 16 }),
      ([word0, word1, word2, word3], bytes, offset) => {
        const start = Math.min(offset, bytes.length);
        const hash = { high: 0, low: 0 };
        sipHash({ word0, word1, word2, word3 }, bytes, start, bytes.length - start, hash);
        const wanted = siphash.hash(
          Uint32Array.of(word0, word1, word2, word3),
          bytes.subarray(start),
        );
        return hash.high === wanted.h && hash.low === wanted.l;
      },
    ),
    { numRuns: 2_000, seed: 1 },
  );
  t.pass();
});
