/** @file Scanning of record files must distinguish torn writes from corruption. */
import t from 'tap';
import {
  encodeRecord,
  RECORD_HEADER_BYTES,
  scanRecords,
} from '../../../src/shared/daemon/record-file.js';

const one = encodeRecord(Buffer.from('one'));
const two = encodeRecord(Buffer.from('two'));
const whole = Buffer.concat([one, two]);

t.test('a tail torn at any byte leaves the complete records before it', async (t) => {
  for (let length = 0; length <= whole.length; length += 1) {
    const scanned = scanRecords(whole.subarray(0, length));
    const expected = length === whole.length ? 2 : length >= RECORD_HEADER_BYTES + 3 ? 1 : 0;
    t.equal(scanned.records.length, expected, `cut at byte ${length}`);
    t.equal(scanned.validBytes, expected * one.length);
    t.equal(scanned.laterRecordAt, undefined);
  }
});

t.test(
  'a changed byte in a record that is followed by another is reported as damage',
  async (t) => {
    for (let offset = 0; offset < one.length; offset += 1) {
      const damaged = Buffer.from(whole);
      damaged[offset] = (damaged[offset] ?? 0) ^ 0x10;
      const scanned = scanRecords(damaged);
      t.equal(scanned.records.length, 0, `byte ${offset}`);
      t.equal(scanned.laterRecordAt, one.length);
    }
  },
);
