/** @file Recovery of consensus storage after crashes, and refusal of damaged or foreign files. */
import { mkdtemp, readFile, rm, truncate, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import t from 'tap';
import { createConsensusState } from '../../../src/shared/consensus/consensus-state.js';
import type { LogEntry } from '../../../src/shared/consensus/log.js';
import type { LogRecord, PersistEffect } from '../../../src/shared/consensus/persisted-state.js';
import { ConsensusStorage } from '../../../src/shared/daemon/consensus-storage.js';
import {
  openStorageFolder,
  type StorageFolder,
} from '../../../src/shared/daemon/storage-folder.js';
import { MemoryFolder } from './memory-folder.js';

function entry(index: number, term = 1): LogEntry {
  return { index, term, content: { type: 'command', data: Buffer.from(`change ${index}`) } };
}

function append(writeId: number, ...entries: LogEntry[]): PersistEffect {
  return { type: 'persist', writeId, records: [{ type: 'entries', entries }] };
}

async function openStorage(folder: StorageFolder): Promise<ConsensusStorage> {
  const storage = await ConsensusStorage.open(folder, 'c1', () => 'disk-1');
  if (storage.isErr()) {
    throw new Error(storage.error.message);
  }
  return storage.value;
}

/** The log entries that a member recovers. */
async function recoveredEntries(folder: StorageFolder): Promise<LogEntry[]> {
  const storage = await openStorage(folder);
  await storage.close();
  const { log } = createConsensusState('c1', storage.recovered);
  return log.slice(log.base.index + 1, log.last.index);
}

async function folderWithThreeWrites(): Promise<MemoryFolder> {
  const folder = new MemoryFolder();
  const storage = await openStorage(folder);
  await storage.persist(append(1, entry(1)));
  await storage.persist(append(2, entry(2), entry(3)));
  await storage.persist(append(3, entry(4)));
  return folder;
}

async function readLog(folder: StorageFolder): Promise<Buffer> {
  return (await folder.read('log')) ?? Buffer.alloc(0);
}

t.test('a log whose last write is torn at any byte keeps all earlier writes', async (t) => {
  const whole = await readLog(await folderWithThreeWrites());
  const lastStart = whole.lastIndexOf('ALR1');
  for (let length = lastStart; length < whole.length; length += 1) {
    const folder = await folderWithThreeWrites();
    folder.put('log', whole.subarray(0, length));
    t.strictSame(await recoveredEntries(folder), [entry(1), entry(2), entry(3)], `${length}`);
  }
});

t.test('a record appended after a torn write is recovered', async (t) => {
  const whole = await readLog(await folderWithThreeWrites());
  const lastStart = whole.lastIndexOf('ALR1');
  for (let length = lastStart; length < whole.length; length += 1) {
    const folder = await folderWithThreeWrites();
    folder.put('log', whole.subarray(0, length));
    const storage = await openStorage(folder);
    await storage.persist(append(1, entry(4, 2)));
    const entries = await recoveredEntries(folder.crashed());
    t.strictSame(entries, [entry(1), entry(2), entry(3), entry(4, 2)], `cut at byte ${length}`);
  }
});

t.test('recovery after a torn write on disk', async (t) => {
  const path = await mkdtemp(join(tmpdir(), 'amberlift-storage-'));
  t.teardown(() => rm(path, { recursive: true }));
  const first = await openStorage(await openStorageFolder(path));
  await first.persist(append(1, entry(1)));
  await first.persist(append(2, entry(2)));
  await first.close();
  const log = join(path, 'log');
  await truncate(log, (await readFile(log)).length - 3);
  const second = await openStorage(await openStorageFolder(path));
  await second.persist(append(1, entry(2, 2)));
  await second.close();
  t.strictSame(await recoveredEntries(await openStorageFolder(path)), [entry(1), entry(2, 2)]);
  await writeFile(log, Buffer.concat([await readFile(log), Buffer.from('ALR1')]));
  t.strictSame(await recoveredEntries(await openStorageFolder(path)), [entry(1), entry(2, 2)]);
});

t.test('damage at any byte before the last write is refused as storage-failed', async (t) => {
  const whole = await readLog(await folderWithThreeWrites());
  const lastStart = whole.lastIndexOf('ALR1');
  for (let offset = 0; offset < lastStart; offset += 1) {
    const folder = await folderWithThreeWrites();
    const damaged = Buffer.from(whole);
    damaged[offset] = (damaged[offset] ?? 0) ^ 0x10;
    folder.put('log', damaged);
    const storage = await ConsensusStorage.open(folder, 'c1');
    t.match(storage, { error: { kind: 'storage-failed' } }, `byte ${offset}`);
    t.ok(damaged.equals(await readLog(folder)), 'the log is left unchanged');
  }
});

t.test('files of another machine and missing files are refused', async (t) => {
  const folder = await folderWithThreeWrites();
  t.match(await ConsensusStorage.open(folder, 'c2'), { error: { kind: 'storage-failed' } });
  for (const name of ['identity', 'log']) {
    const partial = await folderWithThreeWrites();
    await partial.remove(name);
    t.match(
      await ConsensusStorage.open(partial, 'c1'),
      { error: { kind: 'storage-failed' } },
      name,
    );
  }
});

t.test('a damaged log without an identity is not treated as an empty disk', async (t) => {
  const folder = await folderWithThreeWrites();
  const log = await readLog(folder);
  log[0] = 0;
  folder.put('log', log);
  await folder.remove('identity');
  t.match(await ConsensusStorage.open(folder, 'c1'), { error: { kind: 'storage-failed' } });
});

const snapshot = {
  index: 3,
  term: 1,
  membership: { members: [] },
  data: Buffer.from('the state'),
};
const retainedRecords: LogRecord[] = [
  { type: 'base', base: { index: 2, term: 1 } },
  { type: 'vote', term: 5, votedFor: undefined },
  { type: 'entries', entries: [entry(3), entry(4)] },
];
const replaceAll: PersistEffect = {
  type: 'persist-snapshot',
  writeId: 4,
  snapshot,
  records: retainedRecords,
};

t.test('a crash during any operation of a snapshot loses no synced data', async (t) => {
  const countingFolder = await folderWithThreeWrites();
  const storage = await openStorage(countingFolder);
  countingFolder.operationsLeft = 100;
  await storage.persist(replaceAll);
  const operations = 100 - countingFolder.operationsLeft;
  t.ok(operations >= 8);
  for (let count = 0; count <= operations; count += 1) {
    const folder = await folderWithThreeWrites();
    const crashing = await openStorage(folder);
    folder.operationsLeft = count;
    await crashing.persist(replaceAll).catch(() => undefined);
    const { recovered } = await openStorage(folder.crashed());
    const { log, snapshot: found } = createConsensusState('c1', recovered);
    t.equal(log.last.index, 4, `after ${count} operations`);
    t.ok(found !== undefined || log.base.index === 0, 'the log begins where the snapshot ends');
    const next = await openStorage(folder.crashed());
    await next.persist(append(5, entry(5)));
    t.equal(next.recovered.storageId, 'disk-1');
  }
});

t.test('a crash during any operation of the first start leaves a usable disk', async (t) => {
  for (let count = 0; count < 10; count += 1) {
    const folder = new MemoryFolder();
    folder.operationsLeft = count;
    await ConsensusStorage.open(folder, 'c1', () => 'disk-1');
    const storage = await ConsensusStorage.open(folder.crashed(), 'c1', () => 'disk-2');
    t.ok(storage.isOk(), `after ${count} operations`);
  }
});

t.test('a snapshot of a later term keeps its term after a crash', async (t) => {
  const folder = await folderWithThreeWrites();
  const storage = await openStorage(folder);
  folder.operationsLeft = 4;
  const later = { ...snapshot, index: 90, term: 7 };
  await storage.persist({ ...replaceAll, snapshot: later }).catch(() => undefined);
  const { recovered } = await openStorage(folder.crashed());
  const state = createConsensusState('c1', recovered);
  t.strictSame(state.log.last, { index: 90, term: 7 });
  t.equal(state.term, 7);
});

t.test('no write is accepted after a failed one', async (t) => {
  const folder = await folderWithThreeWrites();
  const storage = await openStorage(folder);
  folder.operationsLeft = 1;
  await t.rejects(storage.persist(append(5, entry(5))), 'the sync fails');
  folder.operationsLeft = Infinity;
  await t.rejects(storage.persist(append(6, entry(6))), 'so later writes must fail, too');
  t.strictSame((await recoveredEntries(folder.crashed())).length, 4);
});

t.test('an unsynced write is recovered as a whole or not at all after a crash', async (t) => {
  for (let kept = 0; kept < 80; kept += 1) {
    const folder = await folderWithThreeWrites();
    const storage = await openStorage(folder);
    folder.operationsLeft = 1;
    await storage.persist(append(5, entry(5), entry(6))).catch(() => undefined);
    const entries = await recoveredEntries(folder.crashed(kept));
    t.ok([4, 6].includes(entries.length), `${kept} bytes`);
  }
});

t.test('closing waits for the write in progress', async (t) => {
  const path = await mkdtemp(join(tmpdir(), 'amberlift-storage-'));
  t.teardown(() => rm(path, { recursive: true }));
  const storage = await openStorage(await openStorageFolder(path));
  const write = storage.persist(append(1, entry(1)));
  await storage.close();
  await t.resolves(write);
  t.strictSame(await recoveredEntries(await openStorageFolder(path)), [entry(1)]);
});

t.test(
  'with a pause, writes are retried until they succeed, whichever operation found the disk full',
  async (t) => {
    const whole = await folderWithThreeWrites();
    const wholeLog = await readLog(whole);
    for (let operations = 0; operations < 6; operations += 1) {
      const folder = new MemoryFolder();
      let pauses = 0;
      const pause = async () => {
        pauses += 1;
        folder.operationsLeft = pauses < 3 ? 0 : Infinity;
      };
      const storage = await ConsensusStorage.open(folder, 'c1', () => 'disk-1', pause);
      folder.operationsLeft = operations;
      await storage._unsafeUnwrap().persist(append(1, entry(1)));
      await storage._unsafeUnwrap().persist(append(2, entry(2), entry(3)));
      await storage._unsafeUnwrap().persist(append(3, entry(4)));
      t.ok(pauses >= 3, `full after ${operations} operations`);
      t.same(await readLog(folder), wholeLog, 'nothing of the failed attempts is left');
      const crashedFolder = folder.crashed(0);
      t.equal((await recoveredEntries(crashedFolder)).length, 4);
    }
  },
);
