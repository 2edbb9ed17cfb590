/**
 * @file The disk of a control machine: `identity` names the disk, `log` holds records in the order in
 * which they were written, `snapshot` the state machine. Identity, snapshot and a rewritten log are
 * written to another name, synced and renamed, so that each is there as a whole or not at all.
 *
 * Owns these files. `record-file.ts` tells damage from what a crash may leave; a damaged disk is
 * `storage-failed`, and its machine doesn't start, since it may have acknowledged what is gone.
 */
import { randomUUID } from 'node:crypto';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import type {
  LogRecord,
  PersistEffect,
  RecoveredState,
  Snapshot,
} from '../consensus/persisted-state.js';
import { amberliftError, type AmberliftError } from '../common/error-kinds.js';
import { encodeRecord, scanRecords } from './record-file.js';
import type { StorageFolder } from './storage-folder.js';

const IDENTITY_FILE = 'identity';
const LOG_FILE = 'log';
const SNAPSHOT_FILE = 'snapshot';
const TEMPORARY_SUFFIX = '.new';
const EMPTY_LOG: readonly LogRecord[] = [{ type: 'base', base: { index: 0, term: 0 } }];

const packr = new Packr({ useRecords: false });

interface Identity {
  readonly nodeId: string;
  readonly storageId: string;
}

/** What is found on a disk, or `storage-failed`. */
type Recovery<Found> = Result<Found, AmberliftError>;

/** Waits between two tries of a write that failed. */
export type RetryPause = () => Promise<void>;

/** The opened disk of a control machine. */
export class ConsensusStorage {
  private failure: string | undefined;
  /** Length of the log file up to the last write that is known to last. */
  private logBytes: number;
  /** Ends with the write under way. */
  private lastWrite: Promise<void> = Promise.resolve();

  private constructor(
    private readonly folder: StorageFolder,
    /** What was found at the start. */
    readonly recovered: RecoveredState,
    logBytes: number,
    private readonly pause: RetryPause | undefined,
  ) {
    this.logBytes = logBytes;
  }

  /**
   * Recovers what is on disk; an empty folder gets a new storage ID.
   * @param pause with it, a write that fails is tried again until it lasts, so that a full disk needs no
   *   restart; without it, the first failure is final
   * @returns the storage, or `storage-failed` where the disk is damaged or another machine's
   */
  static async open(
    folder: StorageFolder,
    nodeId: string,
    makeStorageId: () => string = randomUUID,
    pause?: RetryPause,
  ): Promise<Result<ConsensusStorage, AmberliftError>> {
    try {
      const recovered = await recover(folder, nodeId, makeStorageId);
      if (recovered.isErr()) {
        return err(recovered.error);
      }
      const logBytes = (await folder.read(LOG_FILE))?.length ?? 0;
      return ok(new ConsensusStorage(folder, recovered.value, logBytes, pause));
    } catch (cause) {
      // What the operating system says of the disk, or a record that does not decode.
      return err(storageFailed(messageOf(cause)));
    }
  }

  /**
   * Performs a write; it lasts once this resolves. Rejects where it fails, without `pause` alone; nothing is
   * written any more then, since what the disk holds is not known until it is read again.
   */
  persist(effect: PersistEffect): Promise<void> {
    const write = this.pause === undefined ? this.perform(effect) : this.insist(effect, this.pause);
    // Only for `close` to wait; the failure itself goes to the caller.
    this.lastWrite = write.catch(() => undefined);
    return write;
  }

  /** Closes the files once the write under way has ended. */
  async close(): Promise<void> {
    await this.lastWrite;
    await this.folder.close();
  }

  private async perform(effect: PersistEffect): Promise<void> {
    if (this.failure !== undefined) {
      throw new Error(this.failure);
    }
    try {
      await this.write(effect);
    } catch (cause) {
      this.failure = messageOf(cause);
      throw cause;
    }
  }

  /** Tries a write until it lasts; what a failed try left is cut off first. */
  private async insist(effect: PersistEffect, pause: RetryPause): Promise<void> {
    for (let isFirst = true; ; isFirst = false) {
      try {
        if (!isFirst && effect.type === 'persist') {
          await this.folder.truncate(LOG_FILE, this.logBytes);
        }
        await this.write(effect);
        return;
      } catch {
        // A full or failing disk, of which no try tells more than the one before: the owner logs how long the write took.
        await pause();
      }
    }
  }

  private async write(effect: PersistEffect): Promise<void> {
    await (effect.type === 'persist'
      ? this.append(effect.records)
      : this.replaceAll(effect.snapshot, effect.records));
  }

  private async append(records: readonly LogRecord[]): Promise<void> {
    const record = encodeRecord(packr.pack(records));
    await this.folder.append(LOG_FILE, record);
    await this.folder.sync(LOG_FILE);
    this.logBytes += record.length;
  }

  private async replaceAll(snapshot: Snapshot, records: readonly LogRecord[]): Promise<void> {
    await replaceFile(this.folder, SNAPSHOT_FILE, snapshot);
    this.logBytes = await replaceFile(this.folder, LOG_FILE, records);
  }
}

/**
 * Writes a file of one record so that after a crash the old or the new one is there.
 * @returns its length in bytes
 */
async function replaceFile(folder: StorageFolder, name: string, content: object): Promise<number> {
  const temporary = name + TEMPORARY_SUFFIX;
  const record = encodeRecord(packr.pack(content));
  await folder.write(temporary, record);
  await folder.sync(temporary);
  await folder.rename(temporary, name);
  await folder.syncFolder();
  return record.length;
}

async function recover(
  folder: StorageFolder,
  nodeId: string,
  makeStorageId: () => string,
): Promise<Recovery<RecoveredState>> {
  const identity = await readWhole<Identity>(folder, IDENTITY_FILE);
  if (identity.isErr()) {
    return err(identity.error);
  }
  if (identity.value === undefined) {
    return createStorage(folder, nodeId, makeStorageId());
  }
  const { nodeId: ownerId, storageId } = identity.value;
  if (ownerId !== nodeId) {
    return err(storageFailed(`The data folder belongs to ${ownerId}, not to ${nodeId}.`));
  }
  const snapshot = await readWhole<Snapshot>(folder, SNAPSHOT_FILE);
  if (snapshot.isErr()) {
    return err(snapshot.error);
  }
  const records = await recoverLog(folder, snapshot.value);
  return records.map((kept) => ({ storageId, snapshot: snapshot.value, records: kept }));
}

/** The identity comes last, so that a disk without it has never been used. */
async function createStorage(
  folder: StorageFolder,
  nodeId: string,
  storageId: string,
): Promise<Recovery<RecoveredState>> {
  if ((await folder.read(SNAPSHOT_FILE)) !== undefined) {
    return err(storageFailed(`The file ${IDENTITY_FILE} is missing beside a ${SNAPSHOT_FILE}.`));
  }
  const log = await folder.read(LOG_FILE);
  if (log !== undefined && !log.equals(encodeRecord(packr.pack(EMPTY_LOG)))) {
    return err(storageFailed(`The file ${IDENTITY_FILE} is missing beside a ${LOG_FILE}.`));
  }
  await replaceFile(folder, LOG_FILE, EMPTY_LOG);
  const identity: Identity = { nodeId, storageId };
  await replaceFile(folder, IDENTITY_FILE, identity);
  return ok({ storageId, snapshot: undefined, records: EMPTY_LOG });
}

async function recoverLog(
  folder: StorageFolder,
  snapshot: Snapshot | undefined,
): Promise<Recovery<LogRecord[]>> {
  const content = await folder.read(LOG_FILE);
  if (content === undefined) {
    return err(storageFailed(`The file ${LOG_FILE} is missing.`));
  }
  const { records, validBytes, laterRecordAt } = scanRecords(content);
  if (laterRecordAt !== undefined) {
    const message = `The file ${LOG_FILE} is damaged at byte ${validBytes}`;
    return err(storageFailed(`${message}: a whole record follows at byte ${laterRecordAt}.`));
  }
  const first = records[0] && (packr.unpack(records[0]) as LogRecord[])[0];
  if (first?.type !== 'base') {
    return err(storageFailed(`The file ${LOG_FILE} is damaged at its start.`));
  }
  if (first.base.index > (snapshot?.index ?? 0)) {
    return err(
      storageFailed(`The file ${SNAPSHOT_FILE} that the ${LOG_FILE} follows on is missing.`),
    );
  }
  if (validBytes < content.length) {
    await folder.truncate(LOG_FILE, validBytes);
    await folder.sync(LOG_FILE);
  }
  return ok(records.flatMap((record) => packr.unpack(record) as LogRecord[]));
}

/** Reads a file that is there as a whole or not at all. */
async function readWhole<T>(folder: StorageFolder, name: string): Promise<Recovery<T | undefined>> {
  const content = await folder.read(name);
  if (content === undefined) {
    return ok(undefined);
  }
  const { records, validBytes } = scanRecords(content);
  const record = records[0];
  if (record === undefined || records.length > 1 || validBytes !== content.length) {
    return err(storageFailed(`The file ${name} is damaged.`));
  }
  return ok(packr.unpack(record) as T);
}

function storageFailed(message: string): AmberliftError {
  return amberliftError('storage-failed', message);
}

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
