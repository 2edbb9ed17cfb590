/** @file The virtual disk loses only data that a real disk may lose in the same failure. */
import t from 'tap';
import { seededRandom } from '../../../src/shared/common/random.js';
import { VirtualClock } from '../../../src/proof/virtual/virtual-clock.js';
import { VirtualDisk } from '../../../src/proof/virtual/virtual-disk.js';

async function done<T>(clock: VirtualClock, operation: Promise<T>): Promise<T> {
  await clock.runUntil(clock.nowMs + 10);
  return operation;
}

function newDisk(seed: number): { clock: VirtualClock; disk: VirtualDisk } {
  const clock = new VirtualClock();
  return { clock, disk: new VirtualDisk(clock, seededRandom(seed)) };
}

t.test('a crash keeps synced data and any part of unsynced data', async (t) => {
  const lengths = new Set<number>();
  for (let seed = 1; seed <= 20; seed += 1) {
    const { clock, disk } = newDisk(seed);
    const folder = disk.open();
    await done(clock, folder.append('log', Buffer.from('synced')));
    await done(clock, folder.sync('log'));
    await done(clock, folder.syncFolder());
    await done(clock, folder.append('log', Buffer.from('-unsynced')));
    disk.crash();
    const content = await done(clock, disk.open().read('log'));
    t.ok('synced-unsynced'.startsWith(content?.toString() ?? '?'));
    t.ok((content?.length ?? 0) >= 'synced'.length);
    lengths.add(content?.length ?? 0);
  }
  t.ok(lengths.size > 3, 'the tail is torn at different offsets');
});

t.test('a rename is durable only after the folder is synced', async (t) => {
  const found = new Set<boolean>();
  for (let seed = 1; seed <= 10; seed += 1) {
    const { clock, disk } = newDisk(seed);
    const folder = disk.open();
    await done(clock, folder.write('file.new', Buffer.from('content')));
    await done(clock, folder.sync('file.new'));
    await done(clock, folder.rename('file.new', 'file'));
    disk.crash();
    found.add((await done(clock, disk.open().read('file'))) !== undefined);
  }
  t.equal(found.size, 2, 'the rename survives with some seeds and is lost with others');
});

t.test('unsynced writes survive the end of the process', async (t) => {
  const { clock, disk } = newDisk(1);
  await done(clock, disk.open().append('log', Buffer.from('written')));
  disk.killProcess();
  t.equal((await done(clock, disk.open().read('log')))?.toString(), 'written');
});

t.test('a write to a full disk fails and may be partial', async (t) => {
  const { clock, disk } = newDisk(1);
  disk.isFull = true;
  const failure = t.rejects(disk.open().append('log', Buffer.from('content')), /ENOSPC/);
  await clock.runUntil(10);
  await failure;
});
