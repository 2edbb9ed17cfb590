/**
 * @file Selects the balancers of a zone that probe a back end, by rendezvous hashing over the live balancers, so that
 * all of them agree without coordination.
 */
import { hashText, rendezvousScore } from '../../shared/common/rendezvous.js';

/** Number of balancers in a zone that probe each back end; more than one, to tolerate failures of balancers. */
export const PROBERS_PER_BACKEND = 3;

/** The live balancers of this balancer's zone, including itself. */
export interface ProberGroup {
  /** Name of this balancer. */
  readonly selfId: string;
  readonly ids: readonly string[];
  /** Changes whenever the IDs change. */
  readonly version: number;
}

/** Hashes of the balancer IDs, cached for one version of the group. */
export interface GroupHashes {
  readonly version: number;
  readonly hashes: readonly number[];
  readonly ownHash: number;
}

/** Whether this balancer probes a back end, cached for one version of the group. */
export interface ProberAssignment {
  readonly version: number;
  readonly isProber: boolean;
}

/**
 * @returns the hashes of an empty group, which differ from any version
 */
export function emptyGroupHashes(): GroupHashes {
  return { version: Number.NEGATIVE_INFINITY, hashes: [], ownHash: 0 };
}

/**
 * @returns the hashes of the group; the cached object if the version is unchanged
 */
export function groupHashes(
  known: GroupHashes,
  { selfId, ids, version }: ProberGroup,
): GroupHashes {
  return version === known.version
    ? known
    : { version, hashes: ids.map(hashText), ownHash: hashText(selfId) };
}

/**
 * @param keyHash hash of the back end ID
 * @returns true if this balancer is among the highest scores for the back end
 */
export function isProber(keyHash: number, group: GroupHashes): boolean {
  const ownScore = rendezvousScore(keyHash, group.ownHash);
  let higher = 0;
  for (const hash of group.hashes) {
    higher += rendezvousScore(keyHash, hash) > ownScore ? 1 : 0;
  }
  return higher < PROBERS_PER_BACKEND;
}
