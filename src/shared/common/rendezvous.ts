/**
 * @file Rendezvous (highest random weight) hashing: nodes with the same member list choose the same members for a key, and
 * adding or removing a member changes the choice only for keys of that member.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * @returns a 32-bit hash of a text: FNV-1a with the finalizer of MurmurHash3
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let position = 0; position < text.length; position += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(position), FNV_PRIME);
  }
  return mix(hash);
}

/** The finalizer of MurmurHash3: each input bit affects each output bit. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * @param keyHash hash of the key
 * @param nodeHash hash of the node's name
 * @returns the node's score for the key; the highest scores win
 */
export function rendezvousScore(keyHash: number, nodeHash: number): number {
  return mix(keyHash ^ Math.imul(nodeHash, 0x9e3779b1));
}

/**
 * @returns the `count` names with the highest scores for the key, in descending order of score
 */
export function chooseByRendezvous(key: string, names: readonly string[], count: number): string[] {
  const keyHash = hashText(key);
  return names
    .map((name) => ({ name, score: rendezvousScore(keyHash, hashText(name)) }))
    .sort((one, other) => other.score - one.score || (one.name < other.name ? -1 : 1))
    .slice(0, count)
    .map(({ name }) => name);
}
