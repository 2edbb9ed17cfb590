/**
 * @file The replicated state: operators, services, back ends, planned changes, token keys, addresses
 * in quarantine and results of commands. All that belongs to one operator stands in their own
 * `OwnerState`, so that one operator's counters and bounds never depend on another's commands.
 */
import type { Address } from '../../shared/common/address.js';
import type { ChangeCommand, CommandOutcome } from './commands.js';
import { emptyConfigLookup, type ConfigLookup } from './config-lookup.js';
import { emptyRoutingConfig, type RoutingConfig } from './routing-config.js';

/** When a token key took its present state. */
export interface TokenKeyAge {
  /** Index of the entry that set the state. */
  readonly sinceIndex: number;
  /** Unix time of that entry, in milliseconds. */
  readonly sinceMs: number;
}

/** An operator: one of the partners. */
export interface Operator {
  readonly name: string;
  /** SHA-256 of the operator's bearer token, in hex. */
  readonly tokenHash: string;
  /**
   * Ranges that this operator's addresses must lie in, and no other operator's may. Without any, all
   * addresses but those granted to others.
   */
  readonly addressRanges?: readonly string[] | undefined;
}

/** The result of a command, kept so that the same command sent again gets the same answer. */
export interface CommandRecord {
  readonly commandId: string;
  /** SHA-256 of the command, so that an ID used for another command is refused. */
  readonly commandHash: string;
  readonly outcome: CommandOutcome;
  /** When the ID was made, in Unix milliseconds; undefined for an ID that is kept for good. */
  readonly issuedAtMs: number | undefined;
}

/** A change that waits for its time. */
export interface PlannedChange {
  /** Counts the operator's planned changes; never used again. */
  readonly id: number;
  /** Unix time in milliseconds from which it is due. */
  readonly atMs: number;
  readonly change: ChangeCommand;
  /** ID of the command that planned it. */
  readonly commandId: string;
}

/** One line of an operator's audit log. */
export interface AuditEntry {
  /** Counts the operator's lines, from 1. */
  readonly number: number;
  /** Unix time of the entry, in milliseconds. */
  readonly atMs: number;
  readonly operator: string;
  readonly commandId: string;
  /** The command as it was sent. */
  readonly command: unknown;
  readonly outcome: CommandOutcome;
}

/** Version of a service after a change of it or its back ends. */
export interface ServiceVersion {
  readonly serviceId: number;
  readonly version: number;
}

/** The log index at which an operator's revision was accepted. */
interface RevisionMark {
  readonly revision: number;
  readonly index: number;
  /** Undefined where the command changed no service. */
  readonly service?: ServiceVersion | undefined;
}

/** All that belongs to one operator alone, besides services and back ends. */
export interface OwnerState {
  readonly name: string;
  /** Number of the operator's block of IDs, from 0; never given to another. */
  readonly ownerNumber: number;
  nextServiceNumber: number;
  nextBackendNumber: number;
  nextPlanId: number;
  nextAuditNumber: number;
  /** Counts the operator's accepted commands. */
  revision: number;
  /** Revisions accepted last, oldest first; bounded. */
  readonly revisionMarks: RevisionMark[];
  readonly plans: Map<number, PlannedChange>;
  /** Oldest first; bounded. */
  readonly auditLog: AuditEntry[];
  /** By command ID; bounded, see `command-records.ts`. */
  readonly commandRecords: Map<string, CommandRecord>;
  /** How many of the records have an ID without time. */
  untimedRecordCount: number;
  /** IDs made at this Unix time in milliseconds or before are refused as expired. */
  expiredUpToMs: number;
}

/** An address that left a service and may not join another one yet. */
export interface QuarantinedAddress {
  readonly address: Address;
  readonly formerServiceId: number;
  /** Index of the entry that removed it. */
  readonly removedIndex: number;
}

/** The whole replicated state. */
export interface ClusterState {
  /** Index of the last entry applied. */
  index: number;
  /** Term of the last entry applied. */
  term: number;
  /** Highest time of an entry applied, in Unix milliseconds; never goes back. */
  timeMs: number;
  readonly operators: Map<string, Operator>;
  readonly owners: Map<string, OwnerState>;
  readonly routing: RoutingConfig;
  /** By key ID, for each key in `routing.keys`. */
  readonly keyAges: Map<number, TokenKeyAge>;
  /** By the text form of the address. */
  readonly quarantine: Map<string, QuarantinedAddress>;
  /** Derived from `routing`; not a part of snapshots. */
  lookup: ConfigLookup;
}

/**
 * @returns the state before the first entry
 */
export function emptyClusterState(): ClusterState {
  return {
    index: 0,
    term: 0,
    timeMs: 0,
    operators: new Map(),
    owners: new Map(),
    routing: emptyRoutingConfig(),
    keyAges: new Map(),
    quarantine: new Map(),
    lookup: emptyConfigLookup(),
  };
}

/**
 * @param ownerNumber number of the operator's block of IDs
 * @returns the state of an operator who has sent nothing yet
 */
export function emptyOwnerState(name: string, ownerNumber: number): OwnerState {
  return {
    name,
    ownerNumber,
    nextServiceNumber: 1,
    nextBackendNumber: 1,
    nextPlanId: 1,
    nextAuditNumber: 1,
    revision: 0,
    revisionMarks: [],
    plans: new Map(),
    auditLog: [],
    commandRecords: new Map(),
    untimedRecordCount: 0,
    expiredUpToMs: -1,
  };
}
