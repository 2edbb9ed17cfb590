/**
 * @file Puts the parts of an update of the configuration together: nothing of it is in force before all of it has come.
 * It owns the parts, and keeps them when the link ends, for the next one to go on from.
 */
import {
  NO_VERSION,
  type ConfigPart,
  type ConfigUpdate,
  type RouteChange,
} from '../declared/config-update.js';
import type { UnfinishedConfig } from '../group/group-messages.js';

/** What became of a part. */
type PartOutcome =
  /** More parts are to come. */
  | { readonly type: 'unfinished' }
  | { readonly type: 'complete'; readonly update: ConfigUpdate }
  /** It does not follow the parts before it: the sender must begin anew. */
  | { readonly type: 'unfit' };

/** The parts of one update. */
export interface ConfigAssembly {
  /** How far an update has come that is not whole; undefined for nothing. */
  readonly unfinished: UnfinishedConfig | undefined;
  addPart(part: ConfigPart): PartOutcome;
}

interface Assembled extends UnfinishedConfig {
  /** How many changes the whole update has; another number is another list of changes. */
  readonly changeCount: number;
  readonly changes: RouteChange[];
}

const NOTHING: Assembled = {
  version: NO_VERSION,
  baseVersion: NO_VERSION,
  changesTaken: 0,
  changeCount: 0,
  changes: [],
};

/** @returns an assembly without any part */
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
    const before = firstChange === 0 ? [] : changesBefore(part);
    if (before === undefined) {
      assembled = undefined;
      return { type: 'unfit' };
    }
    const changes = [...before, ...part.changes];
    if (changes.length < changeCount) {
      assembled = { version, baseVersion, changeCount, changes, changesTaken: changes.length };
      return { type: 'unfinished' };
    }
    assembled = undefined;
    return { type: 'complete', update: { version, baseVersion, idleTimeoutMs, warmUps, changes } };
  }

  function changesBefore(part: ConfigPart): readonly RouteChange[] | undefined {
    const { version, baseVersion, changesTaken, changeCount, changes } = assembled ?? NOTHING;
    const isNext =
      version === part.version &&
      baseVersion === part.baseVersion &&
      changesTaken === part.firstChange &&
      changeCount === part.changeCount;
    return isNext ? changes : undefined;
  }
}
