/**
 * @file Aggregates the suspicions on a control machine: reports of its own balancers, and the sums of the other control
 * machines. Soft state; each table expires unless it is refreshed.
 */
import type { LinkId } from '../../shared/common/link-table.js';
import { mergeSuspicions } from './merged-suspicions.js';
import {
  MAX_SUSPICION_ROWS,
  SUSPICION_LIFETIME_MS,
  unpackSuspicions,
  type PackedSuspicions,
  type Suspicion,
} from './suspicion-rows.js';

/** Suspicions, aggregated over all balancers. */
export interface SuspicionTotals {
  /**
   * Stores the report of a balancer that is connected here, in place of its last one on this or any other link.
   * @param maxFlows counted per row; 0 for signs of life alone
   */
  applyReport(
    balancer: string,
    link: LinkId,
    rows: PackedSuspicions,
    nowMs: number,
    maxFlows?: number,
  ): void;
  /** @returns true once any balancer has reported, so that balancers share evidence */
  isInUse(): boolean;
  /** Removes the report of a balancer whose link is closed. */
  removeReporter(link: LinkId): void;
  /** Stores the sums of another control machine, in place of its last ones. */
  applySums(sender: string, rows: PackedSuspicions, nowMs: number): void;
  /** @returns the suspicions of the balancers that are connected here, for the other control machines */
  own(nowMs: number): readonly Suspicion[];
  /** @returns the suspicions of all balancers */
  fleet(nowMs: number): readonly Suspicion[];
}

interface ReceivedTable {
  readonly suspicions: readonly Suspicion[];
  readonly receivedAtMs: number;
}

interface Report extends ReceivedTable {
  readonly link: LinkId;
}

/** Per row; bounds what one faulty balancer adds to a sum. */
const MAX_REPORTED_FLOWS = 8;
const MAX_REPORTED_REPEATS = 16;

/** @returns totals without reports */
export function createSuspicionTotals(): SuspicionTotals {
  const reports = new Map<string, Report>();
  const sums = new Map<string, ReceivedTable>();
  let isInUse = false;

  return {
    isInUse: () => isInUse,
    applyReport: (balancer, link, rows, nowMs, maxFlows = MAX_REPORTED_FLOWS) => {
      isInUse = true;
      const suspicions = distinctRows(unpackSuspicions(rows, nowMs)).map((suspicion) =>
        asReported(suspicion, maxFlows),
      );
      reports.set(balancer, { link, suspicions, receivedAtMs: nowMs });
    },
    removeReporter: (link) => {
      for (const [balancer, report] of reports) {
        if (report.link === link) {
          reports.delete(balancer);
        }
      }
    },
    applySums: (sender, rows, nowMs) => {
      isInUse = true;
      sums.set(sender, { suspicions: unpackSuspicions(rows, nowMs), receivedAtMs: nowMs });
    },
    own: (nowMs) => mergeSuspicions(unexpired(reports, nowMs), nowMs, unexpired(sums, nowMs)),
    fleet: (nowMs) =>
      mergeSuspicions([...unexpired(reports, nowMs), ...unexpired(sums, nowMs)], nowMs),
  };
}

/** Removes expired tables. */
function unexpired<Key>(tables: Map<Key, ReceivedTable>, nowMs: number): (readonly Suspicion[])[] {
  for (const [key, { receivedAtMs }] of tables) {
    if (nowMs - receivedAtMs > SUSPICION_LIFETIME_MS) {
      tables.delete(key);
    }
  }
  return [...tables.values()].map(({ suspicions }) => suspicions);
}

/** @returns the first row of each back end and kind, up to the maximum of a table */
function distinctRows(rows: readonly Suspicion[]): readonly Suspicion[] {
  const distinct = new Map<string, Suspicion>();
  for (const row of rows) {
    const key = `${row.token} ${row.kind}`;
    if (!distinct.has(key)) {
      distinct.set(key, row);
    }
  }
  return [...distinct.values()].slice(0, MAX_SUSPICION_ROWS);
}

function asReported(suspicion: Suspicion, maxFlows: number): Suspicion {
  const flows = Math.min(maxFlows, suspicion.flows);
  const repeats = flows > 0 ? Math.min(MAX_REPORTED_REPEATS, suspicion.repeats) : 0;
  return { ...suspicion, balancers: flows > 0 ? 1 : 0, flows, repeats, isOverdue: false };
}
