/**
 * @file The replicated state: operators, services, back ends, planned changes, token keys, quarantined addresses and
 * command outcomes. Counters and limits are kept per operator in `OwnerState`, so that operators cannot affect each
 * other.
 */
import type { Address } from '../../shared/common/address.js';
import type { ChangeCommand, CommandOutcome } from './commands.js';
import { emptyConfigLookup, type ConfigLookup } from './config-lookup.js';
import { emptyRoutingConfig, type RoutingConfig } from './routing-config.js';

/** When a token key entered its current state. */
export interface TokenKeyAge {
  /** Log index of the entry that set the state. */
  readonly sinceIndex: number;
  /** Unix time of that entry in milliseconds. */
  readonly sinceMs: number;
}

/** An operator, who owns services and sends commands. */
export interface Operator {
  readonly name: string;
  /** SHA-256 of the operator's bearer token, in hex. */
  readonly tokenHash: string;
  /**
   * Address ranges reserved for this operator. If undefined, the operator may use every address that is not reserved
   * for another operator.
   */
  readonly addressRanges?: readonly string[] | undefined;
}

/** The stored outcome of a command; a retry of the command gets the same outcome. */
export interface CommandRecord {
  readonly commandId: string;
  /** SHA-256 of the command in hex; detects the reuse of an ID for another command. */
  readonly commandHash: string;
  readonly outcome: CommandOutcome;
  /** Unix time in milliseconds from the command ID; undefined if the ID has none and the record never expires. */
  readonly issuedAtMs: number | undefined;
}

/** A change scheduled for a later time. */
export interface PlannedChange {
  /** Unique per operator and never reused. */
  readonly id: number;
  /** Unix time in milliseconds at which it becomes due. */
  readonly atMs: number;
  readonly change: ChangeCommand;
  /** ID of the `plan-change` command. */
  readonly commandId: string;
}

/** One entry of an operator's audit log. */
export interface AuditEntry {
  /** Sequence number per operator, from 1. */
  readonly number: number;
  /** Replicated time in Unix milliseconds. */
  readonly atMs: number;
  readonly operator: string;
  readonly commandId: string;
  readonly command: unknown;
  readonly outcome: CommandOutcome;
}

/** Version of a service after a change to the service or its back ends. */
export interface ServiceVersion {
  readonly serviceId: number;
  readonly version: number;
}

/** The log index of one of an operator's revisions. */
interface RevisionMark {
  readonly revision: number;
  readonly index: number;
  /** Undefined if the command changed no service. */
  readonly service?: ServiceVersion | undefined;
}

/** Per-operator state other than services and back ends. */
export interface OwnerState {
  readonly name: string;
  /** Number of the operator's ID block, from 0; never reassigned. */
  readonly ownerNumber: number;
  nextServiceNumber: number;
  nextBackendNumber: number;
  nextPlanId: number;
  nextAuditNumber: number;
  /** Number of the operator's accepted commands and executed planned changes. */
  revision: number;
  /** Latest revisions, oldest first; bounded. */
  readonly revisionMarks: RevisionMark[];
  readonly plans: Map<number, PlannedChange>;
  /** Oldest first; bounded. */
  readonly auditLog: AuditEntry[];
  /** By command ID; bounded as described in `command-records.ts`. */
  readonly commandRecords: Map<string, CommandRecord>;
  /** Number of records whose command ID has no timestamp. */
  untimedRecordCount: number;
  /** Command IDs with this Unix time in milliseconds or an earlier one are refused as expired. */
  expiredUpToMs: number;
}

/** An address that was removed from a service and may not join another one yet. */
export interface QuarantinedAddress {
  readonly address: Address;
  readonly formerServiceId: number;
  /** Log index of the removal. */
  readonly removedIndex: number;
}

/** The whole replicated state. */
export interface ClusterState {
  /** Log index of the last applied entry. */
  index: number;
  /** Term of the last applied entry. */
  term: number;
  /** Replicated time in Unix milliseconds: the highest time of all applied entries, so it never decreases. */
  timeMs: number;
  readonly operators: Map<string, Operator>;
  readonly owners: Map<string, OwnerState>;
  readonly routing: RoutingConfig;
  /** By key ID, for each key in `routing.keys`. */
  readonly keyAges: Map<number, TokenKeyAge>;
  /** By formatted address. */
  readonly quarantine: Map<string, QuarantinedAddress>;
  /** Derived from `routing`; not stored in snapshots. */
  lookup: ConfigLookup;
}

/**
 * @returns the state before the first log entry
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
 * @param ownerNumber number of the operator's ID block
 * @returns the state of a new operator
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
