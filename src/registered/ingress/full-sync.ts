/**
 * @file What the messages of a full sync have named so far: back ends and balancers that are missing at its end are
 * unknown to the control machine. A sync that breaks off is replaced by the next one that begins.
 */
import type { FeedMessage } from '../group/group-messages.js';

/** All that a full sync named. */
interface SyncedNames {
  readonly backendIds: ReadonlySet<string>;
  readonly balancerNames: ReadonlySet<string>;
}

/** Collects the names of a full sync. */
export interface FullSync {
  /** Collects what a message names, from the first message of a full sync on. */
  collect(message: FeedMessage): void;
  /** @returns what was named, once for each full sync, with its last message; undefined otherwise */
  finish(message: FeedMessage): SyncedNames | undefined;
}

/** @returns a sync that has not begun */
export function createFullSync(): FullSync {
  let backendIds: Set<string> | undefined;
  let balancerNames: Set<string> | undefined;

  return { collect, finish };

  function collect({ transfer, records = [], balancers = [] }: FeedMessage): void {
    if (transfer === 'begins' || transfer === 'whole') {
      backendIds = new Set();
      balancerNames = new Set();
    }
    records.forEach(({ record }) => backendIds?.add(record.id));
    balancers.forEach(({ name }) => balancerNames?.add(name));
  }

  function finish({ transfer }: FeedMessage): SyncedNames | undefined {
    const isLast = transfer === 'ends' || transfer === 'whole';
    if (!isLast || backendIds === undefined || balancerNames === undefined) {
      return undefined;
    }
    const named = { backendIds, balancerNames };
    backendIds = undefined;
    balancerNames = undefined;
    return named;
  }
}
