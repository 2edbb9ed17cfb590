/**
 * @file Tracks the synchronization between the heartbeat registry and the replicated list of back ends: the pending
 * change of the list, and whether the registry was seeded from the list. Soft state.
 */

/** Synchronization state of the registry and the replicated list. */
export interface BackendListProgress {
  /** Log index of the last list change that this machine proposed; 0 for none. */
  readonly proposalIndex: number;
  recordProposal(index: number): void;
  /** @returns true if the registry must be seeded from the list; marks it as seeded */
  startSeeding(): boolean;
  /** Requires seeding again, after the list was replaced by a snapshot. */
  requireSeeding(): void;
}

/** @returns the state after a start */
export function createBackendListProgress(): BackendListProgress {
  let proposalIndex = 0;
  let isSeeded = false;

  return {
    get proposalIndex() {
      return proposalIndex;
    },
    recordProposal: (index) => {
      proposalIndex = index;
    },
    startSeeding,
    requireSeeding: () => {
      isSeeded = false;
    },
  };

  function startSeeding(): boolean {
    const isDue = !isSeeded;
    isSeeded = true;
    return isDue;
  }
}
