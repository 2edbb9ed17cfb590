/**
 * @file What a control machine knows of the load of back ends: the reports of the balancers that it feeds,
 * and the sums that the other control machines made of theirs. A balancer gets the sum of all but itself,
 * so that what it sends and gets does not grow with the number of balancers.
 *
 * Reports are soft state. A report counts until the next one of the same link or the end of the link; the
 * sums of a control machine count for `sumsLifetimeMs`, since a machine that is cut off says nothing.
 */
import type { LinkId } from '../common/link-table.js';
import { eachLoad, packLoads, type BackendLoadEntry, type PackedLoads } from './backend-load.js';

/** The load of back ends over all balancers. */
export interface LoadTotals {
  /** Takes what passes a balancer that is fed here, in place of its last report. */
  takeReport(reporter: LinkId, loads: PackedLoads): void;
  /** Forgets a balancer whose link is closed. */
  dropReporter(reporter: LinkId): void;
  /** Takes the sums of another control machine, in place of its last ones. */
  takeSums(sender: string, loads: PackedLoads, nowMs: number): void;
  /** Forgets control machines that have not told their sums for long. */
  forgetSilentSenders(nowMs: number): void;
  /** @returns the sum over the balancers that are fed here, for the other control machines */
  ownSums(): PackedLoads;
  /** @returns the sum over all balancers */
  all(): PackedLoads;
  /** @returns the sum over all balancers but one */
  othersOf(reporter: LinkId): PackedLoads;
  /** Rises with each change of any sum. */
  readonly version: number;
}

interface SenderSums {
  readonly loads: PackedLoads;
  readonly heardAtMs: number;
}

/** Sums that were made of all reports at one version. */
interface MadeSums {
  readonly version: number;
  readonly own: PackedLoads;
  readonly all: ReadonlyMap<number, number>;
}

/**
 * @param sumsLifetimeMs how long the sums of another control machine count
 * @returns totals without any report
 */
export function createLoadTotals(sumsLifetimeMs: number): LoadTotals {
  const reports = new Map<LinkId, PackedLoads>();
  const senders = new Map<string, SenderSums>();
  let version = 0;
  let made: MadeSums | undefined;

  return {
    takeReport,
    dropReporter,
    takeSums,
    forgetSilentSenders,
    ownSums: () => currentSums().own,
    all: () => packSums(currentSums().all),
    othersOf,
    get version() {
      return version;
    },
  };

  function takeReport(reporter: LinkId, loads: PackedLoads): void {
    reports.set(reporter, loads);
    version += 1;
  }

  function dropReporter(reporter: LinkId): void {
    if (reports.delete(reporter)) {
      version += 1;
    }
  }

  function takeSums(sender: string, loads: PackedLoads, nowMs: number): void {
    senders.set(sender, { loads, heardAtMs: nowMs });
    version += 1;
  }

  function forgetSilentSenders(nowMs: number): void {
    for (const [sender, { heardAtMs }] of senders) {
      if (nowMs - heardAtMs > sumsLifetimeMs) {
        senders.delete(sender);
        version += 1;
      }
    }
  }

  function othersOf(reporter: LinkId): PackedLoads {
    const sums = new Map(currentSums().all);
    addTo(sums, reports.get(reporter) ?? [], -1);
    return packSums(sums);
  }

  /** Made once for all balancers that are told of one version. */
  function currentSums(): MadeSums {
    if (made?.version !== version) {
      const sums = new Map<number, number>();
      reports.forEach((loads) => addTo(sums, loads, 1));
      const own = packSums(sums);
      senders.forEach(({ loads }) => addTo(sums, loads, 1));
      made = { version, own, all: sums };
    }
    return made;
  }
}

function addTo(sums: Map<number, number>, loads: PackedLoads, sign: 1 | -1): void {
  eachLoad(loads, (token, busy) => {
    sums.set(token, (sums.get(token) ?? 0) + sign * busy);
  });
}

/** Back ends without any load are left out. */
function packSums(sums: ReadonlyMap<number, number>): PackedLoads {
  const entries: BackendLoadEntry[] = [];
  for (const [token, busy] of sums) {
    if (busy > 0) {
      entries.push({ token, busy });
    }
  }
  return packLoads(entries);
}
