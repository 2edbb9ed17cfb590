/**
 * @file How far the registry of heartbeats and the replicated list of back ends are in step: the change of the list
 * that is under way, and whether the list is in the registry. Soft state.
 */

/** How far the registry and the replicated list are in step. */
export interface BackendListProgress {
  /** Index of the last change of the list that was proposed here; 0 for none. */
  readonly proposalIndex: number;
  recordProposal(index: number): void;
  /** @returns true where the list is not in the registry yet; it counts as seeded from now on */
  startSeeding(): boolean;
  /** The list was replaced as a whole. */
  requireSeeding(): void;
}

/** @returns the progress of a machine that has just started */
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
