/** @file The record file. */
import { appendFile, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import t from 'tap';
import { openRecordFile } from '../src/daemon/record-file.js';

t.test('records last, and a torn tail at any byte is cut off', async (t) => {
  const path = join(t.testdir(), 'records');
  const file = await openRecordFile(path);
  await file.append([Buffer.from('one'), Buffer.from('two')]);
  await file.close();
  const whole = await readFile(path);
  for (let length = 0; length <= whole.length; length += 1) {
    await writeFile(path, whole.subarray(0, length));
    const opened = await openRecordFile(path);
    const expected = length === whole.length ? 2 : length >= 11 ? 1 : 0;
    t.equal(opened.recovered.length, expected, `cut at byte ${length}`);
    await opened.close();
  }
});

t.test('a record appended after a torn tail is found again', async (t) => {
  const path = join(t.testdir(), 'records');
  const file = await openRecordFile(path);
  await file.append([Buffer.from('one')]);
  await file.close();
  await appendFile(path, Buffer.from([0, 0, 0]));
  const reopened = await openRecordFile(path);
  await reopened.append([Buffer.from('two')]);
  await reopened.close();
  const last = await openRecordFile(path);
  t.strictSame(last.recovered.map(String), ['one', 'two']);
  await last.close();
});
