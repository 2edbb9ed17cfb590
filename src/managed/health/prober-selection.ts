/**
 * @file Does this balancer probe this back end? Three balancers of each zone do, chosen by rendezvous hashing among the
 * zone's live balancers, so that all of them agree without a message. Owns the hashes of the zone's balancers.
 */
import { hashText, rendezvousScore } from '../../shared/common/rendezvous.js';

/**
 * Balancers of a zone that probe one back end. Not measured; too few if a zone learns late of a failure when one is
 * lost.
 */
export const PROBERS = 3;

/** The live balancers of the own zone, this one included. */
export interface ProberGroup {
  /** Name of this balancer. */
  readonly selfId: string;
  readonly ids: readonly string[];
  /** Differs whenever the IDs do. */
  readonly version: number;
}

/** The hashes of a prober group, as of a version of it. */
export interface GroupHashes {
  readonly version: number;
  readonly hashes: readonly number[];
  readonly ownHash: number;
}

/** Whether this balancer is a prober, as of a version of the group. */
export interface ProberAssignment {
  readonly version: number;
  readonly isOwn: boolean;
}

/**
 * @returns the hashes of a group before the first one is known
 */
export function emptyGroupHashes(): GroupHashes {
  return { version: Number.NEGATIVE_INFINITY, hashes: [], ownHash: 0 };
}

/**
 * @returns the hashes of the group; the same as before where its version is
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
 * @param keyHash hash of the back end
 * @returns true where fewer than `PROBERS` balancers have a higher score than this one
 */
export function isProber(keyHash: number, group: GroupHashes): boolean {
  const ownScore = rendezvousScore(keyHash, group.ownHash);
  let higher = 0;
  for (const hash of group.hashes) {
    higher += rendezvousScore(keyHash, hash) > ownScore ? 1 : 0;
  }
  return higher < PROBERS;
}
