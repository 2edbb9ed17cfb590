/**
 * @file What balancers have not been told yet, by name only: what is said of each is looked up when it is
 * told. News of one thing thus merge for a receiver that is behind, and what waits for it is bounded by
 * what there is.
 */

/** What has changed. */
export interface PendingUpdates {
  /** IDs of back ends that came, or tell something else of themselves. */
  readonly registered: Set<string>;
  /** IDs of back ends that are judged otherwise. */
  readonly livenessChanged: Set<string>;
  /** IDs of back ends that leave. */
  readonly departed: Set<string>;
  /** Names of balancers that came or went. */
  readonly balancers: Set<string>;
  areControlsChanged: boolean;
  /** Orders for zones. */
  areZonesChanged: boolean;
}

/** @returns no news */
export function createPendingUpdates(): PendingUpdates {
  return {
    registered: new Set(),
    livenessChanged: new Set(),
    departed: new Set(),
    balancers: new Set(),
    areControlsChanged: false,
    areZonesChanged: false,
  };
}

/** @returns true where there is nothing to tell */
export function hasNoUpdates(news: PendingUpdates): boolean {
  const isNothingWhole = !news.areControlsChanged && !news.areZonesChanged;
  return isNothingWhole && namedIn(news).every(({ size }) => size === 0);
}

/** Adds news to others. */
export function mergeUpdates(news: PendingUpdates, more: PendingUpdates): void {
  const sets = namedIn(news);
  namedIn(more).forEach((names, at) => names.forEach((name) => sets[at]?.add(name)));
  news.areControlsChanged ||= more.areControlsChanged;
  news.areZonesChanged ||= more.areZonesChanged;
}

/**
 * Takes some news out of others.
 * @param count at most so many names of each kind
 */
export function takeUpdates(news: PendingUpdates, count: number): PendingUpdates {
  const taken = createPendingUpdates();
  const sets = namedIn(taken);
  namedIn(news).forEach((names, at) => {
    for (const name of names) {
      if ((sets[at]?.size ?? count) >= count) {
        break;
      }
      sets[at]?.add(name);
      names.delete(name);
    }
  });
  taken.areControlsChanged = news.areControlsChanged;
  news.areControlsChanged = false;
  taken.areZonesChanged = news.areZonesChanged;
  news.areZonesChanged = false;
  return taken;
}

function namedIn({
  registered,
  livenessChanged,
  departed,
  balancers,
}: PendingUpdates): Set<string>[] {
  return [registered, livenessChanged, departed, balancers];
}
