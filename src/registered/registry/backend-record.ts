/**
 * @file What a back end tells of itself with each heartbeat, and what was said of its end.
 */
import type { Address } from '../../shared/common/address.js';

/** The last heartbeat of one start of a back end. */
export interface BackendRecord {
  /** Names one start of a back end; never used again. */
  readonly id: string;
  /** The number by which datagrams name this start, as 16 hexadecimal digits. */
  readonly instanceNumber: string;
  readonly service: string;
  readonly address: Address;
  readonly zone: string;
  /** How many requests it works on at once. */
  readonly capacity: number;
  /** How much longer it is slow from its start, in milliseconds. */
  readonly warmUpLeftMs: number;
  /** Rises with each heartbeat of this start. */
  readonly sequence: number;
}

/** `draining` takes no new flows and keeps its own; `gone` has said that it ends. Both are final. */
export type DepartureKind = 'draining' | 'gone';

/** A departure of a back end. */
export interface Departure {
  readonly backendId: string;
  readonly kind: DepartureKind;
}

/**
 * @returns true where a departure says more than what is known
 */
export function isLaterDeparture(kind: DepartureKind, known: DepartureKind | undefined): boolean {
  return known === undefined || (known === 'draining' && kind === 'gone');
}
