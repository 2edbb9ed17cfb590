/**
 * @file Which reports of the load exchange count on a control machine, and how are they summed?
 *
 * It owns one table: the reports of the balancers that are fed here, and the sums that the other control machines made
 * of theirs. A balancer is sent the sum over all but itself, so that what it sends and gets does not grow with the
 * number of balancers. A report counts until the next one of the same link or the end of the link; the sums of a
 * control machine count for `sumsLifetimeMs` (load-tables.ts), since a machine that is cut off says nothing. All of it
 * is soft state. Why through control machines: docs/design/registered-placement.md.
 */
import type { LinkId } from '../../shared/common/link-table.js';
import { eachRow, LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/** One table over all balancers. */
export interface LoadTotals {
  /** Applies the report of a balancer that is fed here, in place of its last one. */
  applyReport(reporter: LinkId, rows: PackedRows): void;
  /** Forgets a balancer whose link is closed. */
  dropReporter(reporter: LinkId): void;
  /** Applies the sums of another control machine, in place of its last ones. */
  applySums(sender: string, rows: PackedRows, nowMs: number): void;
  /** Forgets the sums of control machines that have sent none for long. */
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
  readonly rows: PackedRows;
  readonly receivedAtMs: number;
}

/** Sums of all reports at one version. */
interface CachedSums {
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
  let cached: CachedSums | undefined;

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

  function applyReport(reporter: LinkId, rows: PackedRows): void {
    reports.set(reporter, rows);
    version += 1;
  }

  function dropReporter(reporter: LinkId): void {
    if (reports.delete(reporter)) {
      version += 1;
    }
  }

  function applySums(sender: string, rows: PackedRows, nowMs: number): void {
    senders.set(sender, { rows, receivedAtMs: nowMs });
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

  /** Made once for all balancers that are sent the same version. */
  function currentSums(): CachedSums {
    if (cached?.version !== version) {
      const sums: RowSums = new Map();
      reports.forEach((rows) => addTo(sums, rows, 1));
      const own = packSums(sums);
      senders.forEach(({ rows }) => addTo(sums, rows, 1));
      cached = { version, own, all: sums };
    }
    return cached;
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
