/**
 * @file What a back end says of itself with each heartbeat, and that it leaves. Both are part of the wire format and of
 * stored snapshots, so the fields keep their names.
 */
import type { Address } from '../../shared/common/address.js';

/** The last heartbeat of one start of a back end. */
export interface BackendRecord {
  /** Names one start of a back end (backend-start.ts); not used again after a restart. */
  readonly id: string;
  /**
   * The number that names the back end in datagrams to it, and from which with the start the token is made (backend-token.ts);
   * 16 hexadecimal digits, which several starts may have in common.
   */
  readonly instanceNumber: string;
  readonly service: string;
  readonly address: Address;
  readonly zone: string;
  /** How many requests it works on at once; its slots. */
  readonly capacity: number;
  /** How much longer it is cold, in milliseconds. */
  readonly warmUpLeftMs: number;
  /** Rises with each heartbeat of this start. */
  readonly sequence: number;
}

/** `draining` gets no new flows and keeps its own; `gone` has deregistered. Both are final. */
export type DepartureKind = 'draining' | 'gone';

/** A departure of a back end. */
export interface Departure {
  readonly backendId: string;
  readonly kind: DepartureKind;
}

/**
 * @returns true where a departure goes further than the known one, and so changes something
 */
export function isLaterDeparture(kind: DepartureKind, known: DepartureKind | undefined): boolean {
  return known === undefined || (known === 'draining' && kind === 'gone');
}
