/**
 * @file The table of suspicions: evidence from client packets that a back end no longer responds, exchanged along with
 * the loads, since a single balancer sees too few flows of each back end. Messages call this table `suspects`.
 *
 * Rows carry ages, so clocks of machines are never compared; in memory each process keeps times on its own clock.
 */
import { eachRow, type PackedRows, type RowShape } from './packed-rows.js';

/** What the flows wait for. */
export type SuspicionKind =
  /** Clients repeat an open or data; any acknowledgement is a sign of life. */
  | 'unacknowledged'
  /** Requests take far longer than usual; only an answer is a sign of life. */
  | 'unanswered';

/** Evidence on one back end, as observed by one or more balancers. */
export interface Suspicion {
  /** Token of the start of the back end; evidence does not hold against another start. */
  readonly token: number;
  readonly kind: SuspicionKind;
  /** Number of balancers with waiting flows. */
  readonly balancers: number;
  /** Waiting flows; 0 if the row only reports a sign of life. */
  readonly flows: number;
  /** Repeats that clients sent in these flows; each one shows that the copy before it got no response. */
  readonly repeats: number;
  /** When the oldest wait began, in milliseconds. */
  readonly sinceMs: number;
  /** Time of the last sign of life, in milliseconds; minus infinity if there is no recent one. */
  readonly lastSignAtMs: number;
  /** True if a current control machine misses a heartbeat of the back end; set by control machines. */
  readonly isOverdue: boolean;
}

/** Rows with the shape `SUSPICION_ROWS`. */
export type PackedSuspicions = PackedRows;

/** Each row: token, kind, balancers, flows, repeats, age of the oldest wait, age of the last sign, overdue (0 or 1). */
export const SUSPICION_ROWS: RowShape = { numbers: 8, bytes: 12 };

/** Evidence that has not been refreshed for this long no longer counts. */
export const SUSPICION_LIFETIME_MS = 2_500;

/** Unit of ages on the wire; the highest age fits into one byte. */
const AGE_UNIT_MS = 20;

/** Rows per table; bounds its size and with it the time between two tables. */
export const MAX_SUSPICION_ROWS = 40;

/** Stands for an age of `SUSPICION_LIFETIME_MS` or more. */
const MAX_AGE = SUSPICION_LIFETIME_MS / AGE_UNIT_MS;

/** Kinds by their indexes on the wire. */
const KINDS: readonly SuspicionKind[] = ['unacknowledged', 'unanswered'];

/** @returns the suspicions as a flat list; above the maximum, those with the fewest flows are left out */
export function packSuspicions(suspicions: readonly Suspicion[], nowMs: number): PackedSuspicions {
  const kept =
    suspicions.length <= MAX_SUSPICION_ROWS
      ? suspicions
      : [...suspicions].sort((one, other) => other.flows - one.flows).slice(0, MAX_SUSPICION_ROWS);
  return kept.flatMap((suspicion) => [
    suspicion.token,
    KINDS.indexOf(suspicion.kind),
    suspicion.balancers,
    suspicion.flows,
    suspicion.repeats,
    packAge(suspicion.sinceMs, nowMs),
    packAge(suspicion.lastSignAtMs, nowMs),
    suspicion.isOverdue ? 1 : 0,
  ]);
}

/** @returns the suspicions of a flat list, on the clock of this process; unknown kinds are skipped */
export function unpackSuspicions(packed: PackedSuspicions, nowMs: number): Suspicion[] {
  const suspicions: Suspicion[] = [];
  eachRow(packed, SUSPICION_ROWS, (token, row) => {
    const [kindIndex = 0, balancers = 0, flows = 0, repeats = 0, waitAge = 0, signAge = 0] = row;
    const kind = KINDS[kindIndex];
    if (kind !== undefined) {
      suspicions.push({
        token,
        kind,
        balancers,
        flows,
        repeats,
        sinceMs: nowMs - waitAge * AGE_UNIT_MS,
        lastSignAtMs: signAge >= MAX_AGE ? -Infinity : nowMs - signAge * AGE_UNIT_MS,
        isOverdue: row.at(-1) === 1,
      });
    }
  });
  return suspicions;
}

function packAge(atMs: number, nowMs: number): number {
  return Math.round(Math.min(MAX_AGE, Math.max(0, (nowMs - atMs) / AGE_UNIT_MS)));
}
