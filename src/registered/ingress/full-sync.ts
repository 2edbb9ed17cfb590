/**
 * @file Collects the back ends and balancers named in the messages of a full sync; those not named are unknown to the
 * control machine. A new sync replaces an interrupted one.
 */
import type { FeedMessage } from '../group/group-messages.js';

/** Back ends and balancers named in a full sync. */
interface SyncedNames {
  readonly backendIds: ReadonlySet<string>;
  readonly balancerNames: ReadonlySet<string>;
}

/** Collects the names of a full sync. */
export interface FullSync {
  /** Adds the names in a message; ignored outside a full sync. */
  collect(message: FeedMessage): void;
  /** @returns the collected names if the message is the last one of a full sync; undefined otherwise */
  finish(message: FeedMessage): SyncedNames | undefined;
}

/** @returns a collector that waits for the first message of a full sync */
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
