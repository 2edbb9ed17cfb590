/**
 * @file The configuration in force in the form of updates, for balancers that follow the feed of this one. Kept only where
 * peer feeds are switched on.
 */
import { NO_VERSION, type ConfigUpdate, type RouteChange } from '../../declared/config-update.js';

/** The configuration that a balancer can pass on. */
export interface HeldConfig {
  /** Version in force; `NO_VERSION` before the first update. */
  readonly version: number;
  /** Records an update that is in force now. */
  recordUpdate(update: ConfigUpdate): void;
  /** @returns the update from a version; undefined if that is not older than the one in force */
  updateFrom(version: number): ConfigUpdate | undefined;
}

/** @returns an empty configuration */
export function createHeldConfig(): HeldConfig {
  const routes = new Map<string, RouteChange>();
  let latest: ConfigUpdate | undefined;
  /** False once a sender did not list attributes, until a full update that does. */
  let listsAttributes = false;

  return {
    get version() {
      return latest?.version ?? NO_VERSION;
    },
    recordUpdate,
    updateFrom,
  };

  function recordUpdate(update: ConfigUpdate): void {
    const isFull = update.baseVersion === NO_VERSION;
    latest = update;
    listsAttributes = update.listsAttributes === true && (isFull || listsAttributes);
    if (isFull) {
      routes.clear();
    }
    for (const change of update.changes) {
      const key = keyOf(change);
      if (change.targets === undefined) {
        routes.delete(key);
      } else {
        routes.set(key, change);
      }
    }
  }

  function updateFrom(version: number): ConfigUpdate | undefined {
    if (latest === undefined || version >= latest.version) {
      return undefined;
    }
    return version === latest.baseVersion
      ? latest
      : { ...latest, baseVersion: NO_VERSION, listsAttributes, changes: [...routes.values()] };
  }
}

function keyOf({ host, port }: RouteChange): string {
  return `${host}:${port}`;
}
