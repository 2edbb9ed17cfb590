/**
 * @file The replicated state machine of the control group: the declared configuration, evacuated zones, the list of back
 * ends and their departures. The same commands give the same state on every member.
 *
 * It holds no heartbeats. The list tells a group that restarts as a whole which back ends exist, not whether they are
 * alive. Commands and snapshots are stored, so their field names must not change.
 */
import { Packr } from 'msgpackr';
import {
  isLaterDeparture,
  type BackendRecord,
  type Departure,
  type DepartureKind,
} from '../registry/backend-record.js';
import { startOf } from '../registry/backend-start.js';
import { createZoneOrders, type ZoneOrder, type ZoneStatus } from './zone-orders.js';

/** A declared configuration. */
export interface ConfigDocument {
  readonly version: number;
  /** The text as received; returned to readers unchanged. */
  readonly text: string;
}

/** A command that changes the replicated state. */
export type GroupCommand =
  | { readonly type: 'declare-config'; readonly document: ConfigDocument }
  | { readonly type: 'note-departure'; readonly departure: Departure }
  | { readonly type: 'order-zone'; readonly order: ZoneOrder }
  /** Adds back ends after their first heartbeat. */
  | { readonly type: 'register-backends'; readonly records: readonly BackendRecord[] }
  /** Removes back ends that have been silent for longer than any flow can last. */
  | { readonly type: 'forget-backends'; readonly backendIds: readonly string[] };

/** Result of applying a command. */
export type AppliedChange =
  | { readonly type: 'config-changed'; readonly document: ConfigDocument }
  | { readonly type: 'departure-recorded'; readonly departure: Departure }
  | { readonly type: 'zone-changed'; readonly status: ZoneStatus }
  /** The order was based on an outdated status of its zone and was ignored. */
  | { readonly type: 'order-outdated'; readonly order: ZoneOrder }
  | { readonly type: 'nothing-changed' };

/** The oldest departures are dropped beyond this number; kept ones stop late heartbeats from listing back ends again. */
const MAX_DEPARTURES = 20_000;

const packr = new Packr({ useRecords: false });

interface SnapshotContent {
  readonly config: ConfigDocument | undefined;
  readonly departures: [string, DepartureKind][];
  readonly backends: BackendRecord[];
  /** Absent in snapshots of versions without zone orders. */
  readonly zones?: ZoneStatus[];
}

/** State machine of the group; changes only through commands and snapshots. */
export class ReplicatedState {
  readonly zones = createZoneOrders();
  private document: ConfigDocument | undefined;
  private departures = new Map<string, DepartureKind>();
  private backends = new Map<string, BackendRecord>();

  /** The current configuration. */
  get config(): ConfigDocument | undefined {
    return this.document;
  }

  /** All departures, oldest first. */
  allDepartures(): Departure[] {
    return [...this.departures].map(([backendId, kind]) => ({ backendId, kind }));
  }

  /** The listed back ends, with the records of their first heartbeats. */
  allBackends(): IterableIterator<BackendRecord> {
    return this.backends.values();
  }

  hasBackend(backendId: string): boolean {
    return this.backends.has(backendId);
  }

  /** @returns the IDs of all starts of a back end, listed ones first, then departed ones */
  startsOf(backend: string): string[] {
    const ids = [...this.backends.keys(), ...this.departures.keys()];
    return ids.filter((id) => startOf(id).backend === backend);
  }

  departureOf(backendId: string): DepartureKind | undefined {
    return this.departures.get(backendId);
  }

  /**
   * Applies a committed command.
   * @returns what changed; a configuration whose version is not higher than the current one changes nothing
   */
  apply(command: GroupCommand): AppliedChange {
    switch (command.type) {
      case 'declare-config':
        return this.declareConfig(command.document);
      case 'note-departure':
        return this.recordDeparture(command.departure);
      case 'order-zone':
        return this.orderZone(command.order);
      case 'register-backends':
        this.registerBackends(command.records);
        return { type: 'nothing-changed' };
      case 'forget-backends':
        command.backendIds.forEach((id) => this.backends.delete(id));
        return { type: 'nothing-changed' };
    }
  }

  /** @returns the encoded state, for a snapshot */
  encode(): Uint8Array {
    const content: SnapshotContent = {
      config: this.document,
      departures: [...this.departures],
      backends: [...this.backends.values()],
      zones: this.zones.all(),
    };
    return packr.pack(content);
  }

  /** Replaces the state with the decoded snapshot. */
  restore(data: Uint8Array): void {
    const content = packr.unpack(data) as SnapshotContent;
    this.document = content.config ?? undefined;
    this.departures = new Map(content.departures);
    this.backends = new Map(content.backends.map((record) => [record.id, record]));
    this.zones.restore(content.zones ?? []);
  }

  private declareConfig(document: ConfigDocument): AppliedChange {
    if (this.document !== undefined && document.version <= this.document.version) {
      return { type: 'nothing-changed' };
    }
    this.document = document;
    return { type: 'config-changed', document };
  }

  private recordDeparture(departure: Departure): AppliedChange {
    const { backendId, kind } = departure;
    if (!isLaterDeparture(kind, this.departures.get(backendId))) {
      return { type: 'nothing-changed' };
    }
    this.departures.set(backendId, kind);
    if (kind === 'gone') {
      this.backends.delete(backendId);
    }
    this.evictOldestDeparture();
    return { type: 'departure-recorded', departure };
  }

  private orderZone(order: ZoneOrder): AppliedChange {
    switch (this.zones.apply(order)) {
      case 'changed':
        return { type: 'zone-changed', status: this.zones.statusOf(order.zone) };
      case 'unchanged':
        return { type: 'nothing-changed' };
      case 'outdated':
        return { type: 'order-outdated', order };
    }
  }

  private registerBackends(records: readonly BackendRecord[]): void {
    for (const record of records) {
      if (this.departures.get(record.id) !== 'gone') {
        this.backends.set(record.id, record);
      }
    }
  }

  private evictOldestDeparture(): void {
    const [oldest] = this.departures.keys();
    if (this.departures.size > MAX_DEPARTURES && oldest !== undefined) {
      this.departures.delete(oldest);
    }
  }
}

/**
 * @returns the encoded command, for the log
 */
export function encodeGroupCommand(command: GroupCommand): Uint8Array {
  return packr.pack(command);
}

/**
 * @returns the decoded command of a log entry
 */
export function decodeGroupCommand(data: Uint8Array): GroupCommand {
  return packr.unpack(data) as GroupCommand;
}
