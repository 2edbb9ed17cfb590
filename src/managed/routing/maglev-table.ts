/**
 * @file The lookup table of Maglev hashing (Eisenbud et al., NSDI 2016). All back ends get nearly equal shares of the
 * table, and adding or removing one changes few entries of the others.
 */
import { KEYED_HASH_KEY_BYTES, keyedHash } from '../../shared/common/keyed-hash.js';

/** Number of entries: a prime, with well over 100 entries for each back end of a service. */
export const MAGLEV_TABLE_SIZE = 65_537;

/** Fixed hash keys, since all balancers must build the same table. */
const OFFSET_KEY = new Uint8Array(KEYED_HASH_KEY_BYTES).fill(1);
const SKIP_KEY = new Uint8Array(KEYED_HASH_KEY_BYTES).fill(2);
const FLOW_KEY = new Uint8Array(KEYED_HASH_KEY_BYTES).fill(3);
const EMPTY = -1;

interface Permutation {
  readonly position: number;
  readonly skip: number;
  next: number;
}

/**
 * @param backendIds at least one, without duplicates; their order has no effect
 * @returns the back end ID of each entry
 */
export function buildMaglevTable(backendIds: readonly number[]): Int32Array {
  const ids = [...backendIds].sort((left, right) => left - right);
  const permutations = ids.map(permutationOf);
  const table = new Int32Array(MAGLEV_TABLE_SIZE).fill(EMPTY);
  let filled = 0;
  for (let turn = 0; filled < MAGLEV_TABLE_SIZE; turn = (turn + 1) % ids.length) {
    const permutation = permutations[turn];
    const id = ids[turn];
    if (permutation === undefined || id === undefined) {
      throw new RangeError('A Maglev table needs at least one back end.');
    }
    table[nextFreeEntry(table, permutation)] = id;
    filled += 1;
  }
  return table;
}

/**
 * @returns the ID of the back end that the flow ID hashes to
 */
export function lookUpMaglev(table: Int32Array, flowId: Uint8Array): number {
  return table[lowWord(FLOW_KEY, flowId) % MAGLEV_TABLE_SIZE] ?? EMPTY;
}

function permutationOf(id: number): Permutation {
  const name = Buffer.alloc(4);
  name.writeUInt32BE(id);
  return {
    position: lowWord(OFFSET_KEY, name) % MAGLEV_TABLE_SIZE,
    skip: 1 + (lowWord(SKIP_KEY, name) % (MAGLEV_TABLE_SIZE - 1)),
    next: 0,
  };
}

function lowWord(key: Uint8Array, bytes: Uint8Array): number {
  return Buffer.from(keyedHash(key, bytes).buffer).readUInt32LE();
}

function nextFreeEntry(table: Int32Array, permutation: Permutation): number {
  for (;;) {
    const { position, skip } = permutation;
    const entry = (position + permutation.next * skip) % MAGLEV_TABLE_SIZE;
    permutation.next += 1;
    if (table[entry] === EMPTY) {
      return entry;
    }
  }
}
