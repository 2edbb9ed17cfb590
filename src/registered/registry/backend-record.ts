/**
 * @file The registration record that each heartbeat carries, and the departure of a back end. Both are part of the wire
 * format and of stored snapshots: renaming a field breaks compatibility.
 */
import type { Address } from '../../shared/common/address.js';

/** The last heartbeat of one start of a back end. */
export interface BackendRecord {
  /** ID of one start of the back end (backend-start.ts); a restart gets a new one. */
  readonly id: string;
  /**
   * Identifies the back end in datagrams to it; its token is derived from this number and the start (backend-token.ts).
   * 16 hexadecimal digits; several starts may share it.
   */
  readonly instanceNumber: string;
  readonly service: string;
  readonly address: Address;
  readonly zone: string;
  /** How many requests it processes concurrently (slots). */
  readonly capacity: number;
  /** Remaining warm-up time in milliseconds. */
  readonly warmUpLeftMs: number;
  /** Increases with each heartbeat of this start. */
  readonly sequence: number;
}

/** `draining` gets no new flows and keeps its established ones; `gone` has deregistered. Neither can be undone. */
export type DepartureKind = 'draining' | 'gone';

/** A departure of a back end. */
export interface Departure {
  readonly backendId: string;
  readonly kind: DepartureKind;
}

/** @returns true if a departure has an effect after the known one, such as `gone` after `draining` */
export function isLaterDeparture(kind: DepartureKind, known: DepartureKind | undefined): boolean {
  return known === undefined || (known === 'draining' && kind === 'gone');
}
