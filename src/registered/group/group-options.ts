/**
 * @file Options of a control machine, fixed at the start; only the seeds can change later (members/announcements.ts).
 */
import type { Result } from 'neverthrow';
import type { Address } from '../../shared/common/address.js';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import type { DeclaredConfig } from '../declared/declared-config.js';
import type { ConfigDocument } from './replicated-state.js';
import type { Timing } from './timing.js';

/** Options of a control machine; all times are in milliseconds. */
export interface GroupOptions {
  readonly linkAddress: Address;
  /** Zone of this machine; balancers in the same zone prefer it as their feed source. */
  readonly zone: string;
  /** Zones that the settings list; other zones are discovered from the machines that run in them. */
  readonly zones: readonly string[];
  /** Link addresses of the initial members; other machines join the group through them. */
  readonly seeds: readonly Address[];
  /** True on the first start of the whole system, with empty disks. */
  readonly isFirstStart: boolean;
  /** Number of disks that may be lost right after an acknowledgement without losing data. */
  readonly tolerableLosses: number;
  /** Interval between heartbeats of a back end. */
  readonly heartbeatIntervalMs: number;
  /** A back end is removed after this time without a heartbeat. */
  readonly forgetBackendAfterMs: number;
  /** A spare voter is removed after this time without contact. */
  readonly removeVoterAfterMs: number;
  /** Calls without a reply are answered `unavailable` after this time. */
  readonly requestDeadlineMs: number;
  /** Parses a document of the log; fails only if it can't be read at all. */
  readonly readDocument: (document: ConfigDocument) => Result<DeclaredConfig, AmberliftError>;
  readonly timing: Timing;
  /** If true, a link to a control machine that has just been heard from is not waited for (policy `recovery=fast`). */
  readonly redialsHeardPeers?: boolean;
  /** Number of synced copies that an acknowledgement waits for. */
  readonly minimumCopies: number;
}
