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
  readonly changes: RouteChange[];
}

const EMPTY_ASSEMBLY: Assembled = {
  version: NO_VERSION,
  baseVersion: NO_VERSION,
  changesTaken: 0,
  changeCount: 0,
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
    const { version, baseVersion, idleTimeoutMs, warmUps, firstChange, changeCount } = part;
    const preceding = firstChange === 0 ? [] : precedingChanges(part);
    if (preceding === undefined) {
      assembled = undefined;
      return { type: 'unfit' };
    }
    const changes = [...preceding, ...part.changes];
    if (changes.length < changeCount) {
      assembled = { version, baseVersion, changeCount, changes, changesTaken: changes.length };
      return { type: 'unfinished' };
    }
    assembled = undefined;
    return { type: 'complete', update: { version, baseVersion, idleTimeoutMs, warmUps, changes } };
  }

  function precedingChanges(part: ConfigPart): readonly RouteChange[] | undefined {
    const { version, baseVersion, changesTaken, changeCount, changes } =
      assembled ?? EMPTY_ASSEMBLY;
    const isNext =
      version === part.version &&
      baseVersion === part.baseVersion &&
      changesTaken === part.firstChange &&
      changeCount === part.changeCount;
    return isNext ? changes : undefined;
  }
}
