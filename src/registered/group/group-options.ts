/**
 * @file Options of a control machine. They are fixed at the start; only the addresses at which it looks for its
 * group may change later (members/announcements.ts).
 */
import type { Address } from '../../shared/common/address.js';
import type { DeclaredConfig } from '../declared/declared-config.js';
import type { ConfigDocument } from './replicated-state.js';
import type { Timing } from './timing.js';

/** Options of a control machine; all times in milliseconds. */
export interface GroupOptions {
  readonly linkAddress: Address;
  /** Where this machine runs; balancers of the zone prefer it as the source of their feed. */
  readonly zone: string;
  /** Zones of the deployment that the settings name; others are known by what runs there. */
  readonly zones: readonly string[];
  /** Link addresses of the machines with which the group begins, and by which it is found later. */
  readonly seeds: readonly Address[];
  /** True at the first start of the whole system, with empty disks. */
  readonly isFirstStart: boolean;
  /** How many disks may be lost right after an acknowledgement. */
  readonly tolerableLosses: number;
  /** Time between two heartbeats of a back end. */
  readonly heartbeatIntervalMs: number;
  /** A back end without a heartbeat for so long is forgotten. */
  readonly forgetBackendAfterMs: number;
  /** A voter above the number needed that is silent for so long is removed. */
  readonly removeVoterAfterMs: number;
  /** A call is answered within this time, at worst with `unavailable`. */
  readonly requestDeadlineMs: number;
  /** Parses a document; it was checked before it came into the log. */
  readonly readDocument: (document: ConfigDocument) => DeclaredConfig;
  readonly timing: Timing;
  /** Synced copies that an acknowledgement waits for. */
  readonly minimumCopies: number;
}
