/**
 * @file The command log of a control machine that stands alone: entries are synced to disk, then
 * applied in order. Many proposals share one sync.
 */
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { Packr } from 'msgpackr';
import { applyCommand, type AppliedEntry } from '../control/apply-command.js';
import { emptyClusterState, type ClusterState } from '../control/cluster-state.js';
import type { CommandEntry, CommandOutcome } from '../control/commands.js';
import type { ConfigPosition } from '../control/config-update.js';
import { amberliftError } from '../flow/error-kinds.js';
import { openRecordFile, type RecordFile } from './record-file.js';

const LOG_FILE_NAME = 'commands.log';
const ONLY_TERM = 1;
const packr = new Packr({ useRecords: false });

/** Called for each entry once it is applied. */
export type AppliedListener = (position: ConfigPosition, applied: AppliedEntry) => void;

interface QueuedProposal {
  readonly entry: CommandEntry;
  readonly resolve: (outcome: CommandOutcome) => void;
}

/** A log with its state, on one machine. */
export class SingleNodeLog {
  readonly state: ClusterState = emptyClusterState();
  private queue: QueuedProposal[] = [];
  private writing = false;

  private constructor(
    private readonly file: RecordFile,
    private readonly onApplied: AppliedListener,
  ) {}

  /**
   * Opens the log in a data folder and applies what it holds.
   */
  static async open(dataFolder: string, onApplied: AppliedListener): Promise<SingleNodeLog> {
    await mkdir(dataFolder, { recursive: true });
    const file = await openRecordFile(join(dataFolder, LOG_FILE_NAME));
    const log = new SingleNodeLog(file, onApplied);
    for (const record of file.recovered) {
      log.apply(packr.unpack(record) as CommandEntry);
    }
    return log;
  }

  /**
   * Puts a command into the log.
   * @returns its outcome, once it is synced and applied
   */
  propose(entry: CommandEntry): Promise<CommandOutcome> {
    return new Promise((resolve) => {
      this.queue.push({ entry, resolve });
      void this.writeQueue();
    });
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }

  private async writeQueue(): Promise<void> {
    if (this.writing) {
      return;
    }
    this.writing = true;
    while (this.queue.length > 0) {
      const batch = this.queue;
      this.queue = [];
      await this.writeBatch(batch);
    }
    this.writing = false;
  }

  private async writeBatch(batch: readonly QueuedProposal[]): Promise<void> {
    try {
      await this.file.append(batch.map(({ entry }) => packr.pack(entry)));
    } catch (cause) {
      const error = amberliftError('storage-failed', `The log can't be written: ${String(cause)}`);
      batch.forEach(({ resolve }) => resolve({ accepted: false, error }));
      return;
    }
    for (const { entry, resolve } of batch) {
      resolve(this.apply(entry).outcome);
    }
  }

  private apply(entry: CommandEntry): AppliedEntry {
    const position = { term: ONLY_TERM, index: this.state.index + 1 };
    const applied = applyCommand(this.state, position, entry);
    this.onApplied(position, applied);
    return applied;
  }
}
