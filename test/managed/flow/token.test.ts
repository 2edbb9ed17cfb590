/** @file Routing tokens: fields must survive encoding, and modified tokens must be rejected. */
import t from 'tap';
import {
  hasValidMac,
  mintToken,
  prepareTokenKey,
  readToken,
} from '../../../src/managed/flow/token.js';

const key = prepareTokenKey(Uint8Array.from({ length: 16 }, (_, index) => index));
const otherKey = prepareTokenKey(Uint8Array.from({ length: 16 }, (_, index) => index + 1));
const fields = {
  keyId: 7,
  serviceId: 70_000,
  backendId: 4_000_000_000,
  incarnation: 123_456_789,
  flowId: Uint8Array.of(1, 2, 3, 4, 5, 6, 7, 8),
};

t.test('a token contains the fields it was minted with', async (t) => {
  const token = mintToken(fields, key);
  const read = readToken(token);
  t.match(read, { ...fields, flowId: read.flowId });
  t.strictSame([...read.flowId], [...fields.flowId]);
  t.ok(hasValidMac(token, key));
});

t.test('a token with a changed byte or another key is invalid', async (t) => {
  const token = mintToken(fields, key);
  for (let offset = 0; offset < token.length; offset += 1) {
    const forged = Buffer.from(token);
    forged[offset] = (forged[offset] ?? 0) ^ 1;
    t.notOk(hasValidMac(forged, key), `byte ${offset}`);
  }
  t.notOk(hasValidMac(token, otherKey));
});
