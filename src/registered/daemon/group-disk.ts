/**
 * @file What happens when the disk of a control machine of a group refuses, or is slow?
 *
 * Inputs: the outcome of each try, and how long a write takes in milliseconds. A disk that can't be opened and a write that
 * fails are tried again, since a full disk is freed by somebody else, and a restart would lose what is under way: each
 * try to open is logged, and each write that took long once it lasts.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import { formatAddress } from '../../shared/common/address.js';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import type { PersistEffect } from '../../shared/consensus/persisted-state.js';
import { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import { openStorageFolder } from '../../shared/daemon/storage-folder.js';
import { logDecision } from './decision-log.js';
import type { GroupOptions } from '../group/group-options.js';
import { initialStorageId, isInitialMember } from '../group/members/member-identity.js';

/**
 * A write that failed, or a disk that can't be opened, is tried again after this time. Not measured; a group that takes
 * long to go on once its disks are freed would show it too long.
 */
const RETRY_WRITE_AFTER_MS = 200;
/**
 * A disk that is damaged or can't be written for a minute (so many times `RETRY_WRITE_AFTER_MS`) ends the start; a folder
 * that can't even be opened is tried without end. Not measured.
 */
const MAX_OPEN_ATTEMPTS = 300;
/** A write that takes longer is logged: it is most of an election timeout (`group/timing.ts`). Not measured. */
const SLOW_WRITE_MS = 500;

/**
 * Opens the disk of a control machine, waiting where it is full or does not answer.
 * @returns the storage, or `storage-failed` where the disk is damaged
 */
export async function openGroupDisk(
  options: GroupOptions,
  dataFolder: string,
): Promise<Result<ConsensusStorage, AmberliftError>> {
  const { linkAddress, seeds, isFirstStart } = options;
  const pause = () => sleep(RETRY_WRITE_AFTER_MS);
  const makeStorageId = isInitialMember(linkAddress, seeds, isFirstStart)
    ? () => initialStorageId(linkAddress)
    : undefined;
  for (let attempt = 1; ; attempt += 1) {
    try {
      const folder = await openStorageFolder(dataFolder);
      const opened = await ConsensusStorage.open(
        folder,
        formatAddress(linkAddress),
        makeStorageId,
        pause,
      );
      if (opened.isOk() || attempt >= MAX_OPEN_ATTEMPTS) {
        return opened;
      }
      logDecision('control', 'disk not opened', { attempt, reason: opened.error.message });
    } catch (cause) {
      logDecision('control', 'disk not opened', { attempt, reason: String(cause) });
    }
    await pause();
  }
}

/**
 * Writes to the disk; resolves once the write lasts and never rejects, since the storage tries until then.
 */
export async function persistToDisk(
  storage: ConsensusStorage,
  effect: PersistEffect,
): Promise<void> {
  const startedAtMs = performance.now();
  await storage.persist(effect);
  const tookMs = Math.round(performance.now() - startedAtMs);
  if (tookMs > SLOW_WRITE_MS) {
    logDecision('control', 'slow write', { tookMs });
  }
}
