/**
 * @file The disk of a control machine: `identity` names the disk, `log` holds records in the order in
 * which they were written, `snapshot` the state machine. Identity, snapshot and a rewritten log are
 * written to another name, synced and renamed, so that each is there as a whole or not at all.
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

/** Waits between two tries of a write that failed. */
export type RetryPause = () => Promise<void>;

/** The opened disk of a control machine. */
export class ConsensusStorage {
  private failure: string | undefined;
  /** Length of the log file up to the last write that surely lasts. */
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
   * @param pause with it, a write that fails is tried again until it lasts, so that a full disk is
   *   borne without a restart; without it, the first failure is final
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
      const logBytes = (await folder.read(LOG_FILE))?.length ?? 0;
      return ok(new ConsensusStorage(folder, recovered, logBytes, pause));
    } catch (cause) {
      const message = cause instanceof Error ? cause.message : String(cause);
      return err(amberliftError('storage-failed', message));
    }
  }

  /**
   * Performs a write; it lasts once this resolves. After a failure nothing is written any more, since
   * what the disk holds is not known until it is read again.
   */
  persist(effect: PersistEffect): Promise<void> {
    const write = this.pause === undefined ? this.perform(effect) : this.insist(effect, this.pause);
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
      await (effect.type === 'persist'
        ? this.append(effect.records)
        : this.replaceAll(effect.snapshot, effect.records));
    } catch (cause) {
      this.failure = cause instanceof Error ? cause.message : String(cause);
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
        await (effect.type === 'persist'
          ? this.append(effect.records)
          : this.replaceAll(effect.snapshot, effect.records));
        return;
      } catch {
        await pause();
      }
    }
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
): Promise<RecoveredState> {
  const identity = await readWhole<Identity>(folder, IDENTITY_FILE);
  if (identity === undefined) {
    return createStorage(folder, nodeId, makeStorageId());
  }
  if (identity.nodeId !== nodeId) {
    throw new Error(`The data folder belongs to ${identity.nodeId}, not to ${nodeId}.`);
  }
  const snapshot = await readWhole<Snapshot>(folder, SNAPSHOT_FILE);
  const records = await recoverLog(folder, snapshot);
  return { storageId: identity.storageId, snapshot, records };
}

/** The identity comes last, so that a disk without it has never been used. */
async function createStorage(
  folder: StorageFolder,
  nodeId: string,
  storageId: string,
): Promise<RecoveredState> {
  if ((await folder.read(SNAPSHOT_FILE)) !== undefined) {
    throw new Error(`The file ${IDENTITY_FILE} is missing beside a ${SNAPSHOT_FILE}.`);
  }
  const log = await folder.read(LOG_FILE);
  if (log !== undefined && !log.equals(encodeRecord(packr.pack(EMPTY_LOG)))) {
    throw new Error(`The file ${IDENTITY_FILE} is missing beside a ${LOG_FILE}.`);
  }
  await replaceFile(folder, LOG_FILE, EMPTY_LOG);
  const identity: Identity = { nodeId, storageId };
  await replaceFile(folder, IDENTITY_FILE, identity);
  return { storageId, snapshot: undefined, records: EMPTY_LOG };
}

async function recoverLog(
  folder: StorageFolder,
  snapshot: Snapshot | undefined,
): Promise<LogRecord[]> {
  const content = await folder.read(LOG_FILE);
  if (content === undefined) {
    throw new Error(`The file ${LOG_FILE} is missing.`);
  }
  const { records, validBytes, laterRecordAt } = scanRecords(content);
  if (laterRecordAt !== undefined) {
    const message = `The file ${LOG_FILE} is damaged at byte ${validBytes}`;
    throw new Error(`${message}: a whole record follows at byte ${laterRecordAt}.`);
  }
  const first = records[0] && (packr.unpack(records[0]) as LogRecord[])[0];
  if (first?.type !== 'base') {
    throw new Error(`The file ${LOG_FILE} is damaged at its start.`);
  }
  if (first.base.index > (snapshot?.index ?? 0)) {
    throw new Error(`The file ${SNAPSHOT_FILE} that the ${LOG_FILE} follows on is missing.`);
  }
  if (validBytes < content.length) {
    await folder.truncate(LOG_FILE, validBytes);
    await folder.sync(LOG_FILE);
  }
  return records.flatMap((record) => packr.unpack(record) as LogRecord[]);
}

/** Reads a file that is there as a whole or not at all. */
async function readWhole<T>(folder: StorageFolder, name: string): Promise<T | undefined> {
  const content = await folder.read(name);
  if (content === undefined) {
    return undefined;
  }
  const { records, validBytes } = scanRecords(content);
  const record = records[0];
  if (record === undefined || records.length > 1 || validBytes !== content.length) {
    throw new Error(`The file ${name} is damaged.`);
  }
  return packr.unpack(record) as T;
}
