/**
 * @file Disk of a control machine. Failed opens and writes are retried, since a full disk may be freed and a restart
 * would lose the calls in progress. Failed attempts to open and slow writes are logged.
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

/** Delay before a failed open or write is retried. */
const RETRY_DELAY_MS = 200;
/**
 * The start fails if the storage is still damaged or not writable after this many attempts (one minute). A folder that
 * can't be opened is retried without limit.
 */
const MAX_OPEN_ATTEMPTS = 300;
/** Slower writes are logged: they take most of an election timeout (`group/timing.ts`). */
const SLOW_WRITE_MS = 500;

/**
 * Opens the disk of a control machine; retries while it is full or not available.
 * @returns the storage, or `storage-failed` if the disk is damaged
 */
export async function openGroupDisk(
  options: GroupOptions,
  dataFolder: string,
): Promise<Result<ConsensusStorage, AmberliftError>> {
  const { linkAddress, seeds, isFirstStart } = options;
  const pause = () => sleep(RETRY_DELAY_MS);
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
 * Writes to the disk and logs slow writes. Resolves once the write is durable; never rejects, since the storage
 * retries.
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
