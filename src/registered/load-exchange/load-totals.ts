/**
 * @file What a control machine knows of the load of back ends, or of another table of numbers by back end: the reports
 * of the balancers that it feeds, and the sums that the other control machines made of theirs. A balancer gets the sum of all but itself,
 * so that what it sends and gets does not grow with the number of balancers.
 *
 * Reports are soft state. A report counts until the next one of the same link or the end of the link; the
 * sums of a control machine count for `sumsLifetimeMs`, since a machine that is cut off says nothing.
 */
import type { LinkId } from '../../shared/common/link-table.js';
import { eachRow, LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/** The load of back ends over all balancers. */
export interface LoadTotals {
  /** Takes what passes a balancer that is fed here, in place of its last report. */
  applyReport(reporter: LinkId, loads: PackedRows): void;
  /** Forgets a balancer whose link is closed. */
  dropReporter(reporter: LinkId): void;
  /** Takes the sums of another control machine, in place of its last ones. */
  applySums(sender: string, loads: PackedRows, nowMs: number): void;
  /** Forgets control machines that have not told their sums for long. */
  forgetSilentSenders(nowMs: number): void;
  /** @returns the sum over the balancers that are fed here, for the other control machines */
  ownSums(): PackedRows;
  /** @returns the sum over all balancers */
  all(): PackedRows;
  /** @returns the sum over all balancers but one */
  fleetSumsFor(reporter: LinkId): PackedRows;
  /** Rises with each change of any sum. */
  readonly version: number;
}

/** The numbers of back ends by their tokens. */
type RowSums = Map<number, readonly number[]>;

interface SenderSums {
  readonly loads: PackedRows;
  readonly receivedAtMs: number;
}

/** Sums that were made of all reports at one version. */
interface MadeSums {
  readonly version: number;
  readonly own: PackedRows;
  readonly all: ReadonlyMap<number, readonly number[]>;
}

/**
 * @param sumsLifetimeMs how long the sums of another control machine count
 * @param shape of the rows of the table
 * @returns totals without any report
 */
export function createLoadTotals(sumsLifetimeMs: number, shape: RowShape = LOAD_ROWS): LoadTotals {
  const reports = new Map<LinkId, PackedRows>();
  const senders = new Map<string, SenderSums>();
  let version = 0;
  let made: MadeSums | undefined;

  return {
    applyReport,
    dropReporter,
    applySums,
    forgetSilentSenders,
    ownSums: () => currentSums().own,
    all: () => packSums(currentSums().all),
    fleetSumsFor,
    get version() {
      return version;
    },
  };

  function applyReport(reporter: LinkId, loads: PackedRows): void {
    reports.set(reporter, loads);
    version += 1;
  }

  function dropReporter(reporter: LinkId): void {
    if (reports.delete(reporter)) {
      version += 1;
    }
  }

  function applySums(sender: string, loads: PackedRows, nowMs: number): void {
    senders.set(sender, { loads, receivedAtMs: nowMs });
    version += 1;
  }

  function forgetSilentSenders(nowMs: number): void {
    for (const [sender, { receivedAtMs }] of senders) {
      if (nowMs - receivedAtMs > sumsLifetimeMs) {
        senders.delete(sender);
        version += 1;
      }
    }
  }

  function fleetSumsFor(reporter: LinkId): PackedRows {
    const sums = new Map(currentSums().all);
    addTo(sums, reports.get(reporter) ?? [], -1);
    return packSums(sums);
  }

  /** Made once for all balancers that are told of one version. */
  function currentSums(): MadeSums {
    if (made?.version !== version) {
      const sums: RowSums = new Map();
      reports.forEach((loads) => addTo(sums, loads, 1));
      const own = packSums(sums);
      senders.forEach(({ loads }) => addTo(sums, loads, 1));
      made = { version, own, all: sums };
    }
    return made;
  }

  function addTo(sums: RowSums, rows: PackedRows, sign: 1 | -1): void {
    eachRow(rows, shape, (token, values) => {
      const before = sums.get(token);
      sums.set(
        token,
        values.map((value, at) => (before?.[at] ?? 0) + sign * value),
      );
    });
  }
}

/** Back ends of which all numbers are 0 are left out. */
function packSums(sums: ReadonlyMap<number, readonly number[]>): PackedRows {
  const packed: number[] = [];
  for (const [token, values] of sums) {
    if (values.some((value) => value > 0)) {
      packed.push(token, ...values.map((value) => Math.max(0, value)));
    }
  }
  return packed;
}
