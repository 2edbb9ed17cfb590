/**
 * @file Aggregates one table of the load exchange on a control machine: reports of its own balancers, and the sums of
 * the other control machines. A balancer gets the sum over all others, so its traffic does not grow with their number.
 */
import type { LinkId } from '../../shared/common/link-table.js';
import { eachRow, LOAD_ROWS, type PackedRows, type RowShape } from './packed-rows.js';

/** One table, aggregated over all balancers; soft state. */
export interface LoadTotals {
  /** Stores the report of a balancer that is connected here, in place of its last one. */
  applyReport(reporter: LinkId, rows: PackedRows): void;
  /** Removes the report of a balancer whose link is closed. */
  removeReporter(reporter: LinkId): void;
  /** Stores the sums of another control machine, in place of its last ones. */
  applySums(sender: string, rows: PackedRows, nowMs: number): void;
  /** Removes the sums of control machines that have sent none for the lifetime of sums. */
  removeExpiredSums(nowMs: number): void;
  /** @returns the sum over the balancers that are connected here, for the other control machines */
  ownSums(): PackedRows;
  /** @returns the sum over all balancers */
  fleetSums(): PackedRows;
  /** @returns the sum over all balancers except one */
  fleetSumsExcept(reporter: LinkId): PackedRows;
  /** Increases with each change of the reports or sums. */
  readonly version: number;
}

/** Summed row values by back-end token. */
type RowSums = Map<number, readonly number[]>;

interface SenderSums {
  readonly rows: PackedRows;
  readonly receivedAtMs: number;
}

/** Sums of all reports at one version. */
interface CachedSums {
  readonly version: number;
  readonly own: PackedRows;
  readonly fleet: ReadonlyMap<number, readonly number[]>;
}

/**
 * @param sumsLifetimeMs sums of another control machine expire after this time, in milliseconds
 * @returns totals without reports
 */
export function createLoadTotals(sumsLifetimeMs: number, shape: RowShape = LOAD_ROWS): LoadTotals {
  const reports = new Map<LinkId, PackedRows>();
  const senders = new Map<string, SenderSums>();
  let version = 0;
  let cached: CachedSums | undefined;

  return {
    applyReport,
    removeReporter,
    applySums,
    removeExpiredSums,
    ownSums: () => currentSums().own,
    fleetSums: () => packSums(currentSums().fleet),
    fleetSumsExcept,
    get version() {
      return version;
    },
  };

  function applyReport(reporter: LinkId, rows: PackedRows): void {
    reports.set(reporter, rows);
    version += 1;
  }

  function removeReporter(reporter: LinkId): void {
    if (reports.delete(reporter)) {
      version += 1;
    }
  }

  function applySums(sender: string, rows: PackedRows, nowMs: number): void {
    senders.set(sender, { rows, receivedAtMs: nowMs });
    version += 1;
  }

  function removeExpiredSums(nowMs: number): void {
    for (const [sender, { receivedAtMs }] of senders) {
      if (nowMs - receivedAtMs > sumsLifetimeMs) {
        senders.delete(sender);
        version += 1;
      }
    }
  }

  function fleetSumsExcept(reporter: LinkId): PackedRows {
    const sums = new Map(currentSums().fleet);
    addTo(sums, reports.get(reporter) ?? [], -1);
    return packSums(sums);
  }

  /** Computed once per version, for all balancers. */
  function currentSums(): CachedSums {
    if (cached?.version !== version) {
      const sums: RowSums = new Map();
      reports.forEach((rows) => addTo(sums, rows, 1));
      const own = packSums(sums);
      senders.forEach(({ rows }) => addTo(sums, rows, 1));
      cached = { version, own, fleet: sums };
    }
    return cached;
  }

  function addTo(sums: RowSums, rows: PackedRows, sign: 1 | -1): void {
    eachRow(rows, shape, (token, values) => {
      const before = sums.get(token);
      sums.set(
        token,
        values.map((value, index) => (before?.[index] ?? 0) + sign * value),
      );
    });
  }
}

/** Omits back ends whose numbers are all 0. */
function packSums(sums: ReadonlyMap<number, readonly number[]>): PackedRows {
  const packed: number[] = [];
  for (const [token, values] of sums) {
    if (values.some((value) => value > 0)) {
      packed.push(token, ...values.map((value) => Math.max(0, value)));
    }
  }
  return packed;
}
