/** @file The keyed hash matches the test vectors of SipHash-2-4. */
import t from 'tap';
import { keyedHash } from '../../../src/shared/common/keyed-hash.js';

/** Vectors of the reference implementation by message length n: key 00..0f, message 00..n-1, little-endian. */
const vectors = new Map([
  [0, '310e0edd47db6f72'],
  [1, 'fd67dc93c539f874'],
  [7, '37d1018bf50002ab'],
  [8, '6224939a79f5f593'],
  [15, 'e545be4961ca29a1'],
  [63, '724506eb4c328a95'],
]);
const key = Uint8Array.from({ length: 16 }, (_, index) => index);

for (const [length, expected] of vectors) {
  t.test(`a message of ${length} bytes`, async (t) => {
    const message = Uint8Array.from({ length }, (_, index) => index);
    t.equal(Buffer.from(keyedHash(key, message)).toString('hex'), expected);
  });
}

t.test('the hash does not depend on the offset of the bytes in their buffer', async (t) => {
  const bytes = Uint8Array.from({ length: 32 }, (_, index) => index * 7);
  for (let start = 0; start < bytes.length; start += 1) {
    const view = bytes.subarray(start);
    t.strictSame(keyedHash(key, view), keyedHash(key, Uint8Array.from(view)));
  }
});
