/** @file Guards messages and files of the consensus protocol against changed names: members of two versions form a group. */
import t from 'tap';
import { encodeFrame, FrameDecoder } from '../../src/shared/common/frame-codec.js';
import type { PersistEffect } from '../../src/shared/consensus/persisted-state.js';
import { ConsensusStorage } from '../../src/shared/daemon/consensus-storage.js';
import { MemoryFolder } from '../shared/daemon/memory-folder.js';
import { consensusMessages, logRecords, snapshot } from './consensus-forms.js';
import { hexOf, keptBytes, testFrozenForms } from './frozen-forms.js';

const FILES = ['identity', 'log', 'snapshot'];

/** Files of a member after an append, and after a snapshot replaced the log. */
async function storedFiles(): Promise<Record<string, string>> {
  const folder = new MemoryFolder();
  const storage = (await ConsensusStorage.open(folder, 'c1', () => 'disk-1'))._unsafeUnwrap();
  await storage.persist({ type: 'persist', writeId: 1, records: logRecords });
  const appended = hexOf((await folder.read('log')) ?? Buffer.alloc(0));
  const replaced: PersistEffect = {
    type: 'persist-snapshot',
    writeId: 2,
    snapshot,
    records: [{ type: 'base', base: { index: 3, term: 1 } }, ...logRecords],
  };
  await storage.persist(replaced);
  const files: Record<string, string> = { 'log after an append': appended };
  for (const file of FILES) {
    files[file] = hexOf((await folder.read(file)) ?? Buffer.alloc(0));
  }
  return files;
}

const messages = Object.fromEntries(
  Object.entries(consensusMessages).map(([name, message]) => [name, hexOf(encodeFrame(message))]),
);
testFrozenForms('consensus-messages', messages);
testFrozenForms('consensus-files', await storedFiles());

t.test('the kept frames are read as the messages', async (t) => {
  for (const [name, message] of Object.entries(consensusMessages)) {
    const decoded = new FrameDecoder().push(keptBytes('consensus-messages', name));
    t.same(decoded, { type: 'messages', messages: [message] }, name);
  }
});

t.test('the kept files are recovered', async (t) => {
  const folder = new MemoryFolder();
  for (const file of FILES) {
    folder.put(file, keptBytes('consensus-files', file));
  }
  const storage = (await ConsensusStorage.open(folder, 'c1', () => 'other'))._unsafeUnwrap();
  t.equal(storage.recovered.storageId, 'disk-1');
  t.same(storage.recovered.snapshot, snapshot);
  t.same(storage.recovered.records, [{ type: 'base', base: { index: 3, term: 1 } }, ...logRecords]);
});
