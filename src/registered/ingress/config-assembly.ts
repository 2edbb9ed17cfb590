/**
 * @file Reassembles a configuration update that arrives in parts; it takes effect only when complete. The parts survive a
 * disconnect, so that the next feed can resume the transfer.
 */
import {
  NO_VERSION,
  type ConfigPart,
  type ConfigUpdate,
  type RouteChange,
} from '../declared/config-update.js';
import type { UnfinishedConfig } from '../group/group-messages.js';

/** Result of adding a part. */
type PartOutcome =
  /** More parts are expected. */
  | { readonly type: 'unfinished' }
  | { readonly type: 'complete'; readonly update: ConfigUpdate }
  /** The part does not continue the previous ones; the sender must restart the update. */
  | { readonly type: 'unfit' };

/** Reassembly buffer for one update at a time. */
export interface ConfigAssembly {
  /** Progress of the incomplete update; undefined if there is none. */
  readonly unfinished: UnfinishedConfig | undefined;
  addPart(part: ConfigPart): PartOutcome;
}

interface Assembled extends UnfinishedConfig {
  /** Total changes in the update; a different total means a different list of changes. */
  readonly changeCount: number;
  /** True if all senders of its parts list changes of attributes. */
  readonly listsAttributes: boolean;
  readonly changes: RouteChange[];
}

const EMPTY_ASSEMBLY: Assembled = {
  version: NO_VERSION,
  baseVersion: NO_VERSION,
  changesTaken: 0,
  changeCount: 0,
  listsAttributes: false,
  changes: [],
};

/** @returns an empty assembly */
export function createConfigAssembly(): ConfigAssembly {
  let assembled: Assembled | undefined;

  return {
    get unfinished() {
      if (assembled === undefined) {
        return undefined;
      }
      const { version, baseVersion, changesTaken } = assembled;
      return { version, baseVersion, changesTaken };
    },
    addPart,
  };

  function addPart(part: ConfigPart): PartOutcome {
    const { version, baseVersion, idleTimeoutMs, warmUps, changeCount } = part;
    const preceding = precedingParts(part);
    if (preceding === undefined) {
      assembled = undefined;
      return { type: 'unfit' };
    }
    const changes = [...preceding.changes, ...part.changes];
    const listsAttributes = preceding.listsAttributes && part.listsAttributes === true;
    if (changes.length < changeCount) {
      const changesTaken = changes.length;
      assembled = { version, baseVersion, changeCount, listsAttributes, changes, changesTaken };
      return { type: 'unfinished' };
    }
    assembled = undefined;
    const update = { version, baseVersion, idleTimeoutMs, warmUps, listsAttributes, changes };
    return { type: 'complete', update };
  }

  /** @returns what precedes a part; undefined if it does not continue the previous ones */
  function precedingParts(
    part: ConfigPart,
  ): Pick<Assembled, 'changes' | 'listsAttributes'> | undefined {
    if (part.firstChange === 0) {
      return { changes: [], listsAttributes: true };
    }
    const preceding = assembled ?? EMPTY_ASSEMBLY;
    const { version, baseVersion, changesTaken, changeCount } = preceding;
    const isNext =
      version === part.version &&
      baseVersion === part.baseVersion &&
      changesTaken === part.firstChange &&
      changeCount === part.changeCount;
    return isNext ? preceding : undefined;
  }
}
