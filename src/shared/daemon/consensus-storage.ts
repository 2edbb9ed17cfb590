/**
 * @file Durable storage of a consensus member in three files: `identity` (the storage ID), `log` (records in the order of
 * writing) and `snapshot` (the state machine). Whole files are replaced atomically: written under a temporary name, synced
 * and renamed. Corruption, unlike a torn last write, prevents the start, since acknowledged writes may be lost.
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

/** What was read from disk, or `storage-failed`. */
type Recovery<Found> = Result<Found, AmberliftError>;

/** Waits before a failed write is retried. */
export type RetryPause = () => Promise<void>;

/** The open storage of a consensus member. */
export class ConsensusStorage {
  private failure: string | undefined;
  /** Length of the log file up to the last durable write. */
  private logBytes: number;
  /** Resolves once the write in progress has ended. */
  private lastWrite: Promise<void> = Promise.resolve();

  private constructor(
    private readonly folder: StorageFolder,
    /** State read from disk at startup. */
    readonly recovered: RecoveredState,
    logBytes: number,
    private readonly pause: RetryPause | undefined,
  ) {
    this.logBytes = logBytes;
  }

  /**
   * Recovers the state on disk; initializes an empty folder with a new storage ID.
   * @param pause if given, failed writes are retried until they succeed, so that a full disk needs no restart; otherwise
   *   the first failure is final
   * @returns the storage, or `storage-failed` if the files are damaged or belong to another machine
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
      // An I/O error, or a record that can't be decoded.
      return err(storageFailed(errorMessage(cause)));
    }
  }

  /**
   * Performs a write, which is durable once this resolves. Rejects on failure if there is no `pause`; all later writes
   * then fail, too, since the content of the disk is unknown until it is read again.
   */
  persist(effect: PersistEffect): Promise<void> {
    const write =
      this.pause === undefined
        ? this.persistOnce(effect)
        : this.persistWithRetry(effect, this.pause);
    // `close` only waits for the write; the caller handles its failure.
    this.lastWrite = write.catch(() => undefined);
    return write;
  }

  /** Closes the files once the write in progress has ended. */
  async close(): Promise<void> {
    await this.lastWrite;
    await this.folder.close();
  }

  private async persistOnce(effect: PersistEffect): Promise<void> {
    if (this.failure !== undefined) {
      throw new Error(this.failure);
    }
    try {
      await this.write(effect);
    } catch (cause) {
      this.failure = errorMessage(cause);
      throw cause;
    }
  }

  /** Retries a write until it succeeds; before each retry, truncates what the failed attempt left in the log. */
  private async persistWithRetry(effect: PersistEffect, pause: RetryPause): Promise<void> {
    for (let isFirst = true; ; isFirst = false) {
      try {
        if (!isFirst && effect.type === 'persist') {
          await this.folder.truncate(LOG_FILE, this.logBytes);
        }
        await this.write(effect);
        return;
      } catch {
        // A full or failing disk. The caller logs how long the write took, so attempts are not logged.
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
 * Atomically replaces a file by one that holds a single record.
 * @returns the length of the file in bytes
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
  const identity = await readSingleRecord<Identity>(folder, IDENTITY_FILE);
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
  const snapshot = await readSingleRecord<Snapshot>(folder, SNAPSHOT_FILE);
  if (snapshot.isErr()) {
    return err(snapshot.error);
  }
  const records = await recoverLog(folder, snapshot.value);
  return records.map((validRecords) => ({
    storageId,
    snapshot: snapshot.value,
    records: validRecords,
  }));
}

/** Writes the identity last, so that a folder without it has never been in use. */
async function createStorage(
  folder: StorageFolder,
  nodeId: string,
  storageId: string,
): Promise<Recovery<RecoveredState>> {
  if ((await folder.read(SNAPSHOT_FILE)) !== undefined) {
    return err(storageFailed(`The file ${IDENTITY_FILE} is missing, but ${SNAPSHOT_FILE} exists.`));
  }
  const log = await folder.read(LOG_FILE);
  if (log !== undefined && !log.equals(encodeRecord(packr.pack(EMPTY_LOG)))) {
    return err(storageFailed(`The file ${IDENTITY_FILE} is missing, but ${LOG_FILE} exists.`));
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
    return err(storageFailed(`${message}: a valid record follows at byte ${laterRecordAt}.`));
  }
  const first = records[0] && (packr.unpack(records[0]) as LogRecord[])[0];
  if (first?.type !== 'base') {
    return err(storageFailed(`The file ${LOG_FILE} is damaged at its start.`));
  }
  if (first.base.index > (snapshot?.index ?? 0)) {
    return err(
      storageFailed(`The file ${SNAPSHOT_FILE} that precedes the ${LOG_FILE} is missing.`),
    );
  }
  if (validBytes < content.length) {
    await folder.truncate(LOG_FILE, validBytes);
    await folder.sync(LOG_FILE);
  }
  return ok(records.flatMap((record) => packr.unpack(record) as LogRecord[]));
}

/** Reads a file that holds a single record, as written by `replaceFile`. */
async function readSingleRecord<T>(
  folder: StorageFolder,
  name: string,
): Promise<Recovery<T | undefined>> {
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

function errorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
