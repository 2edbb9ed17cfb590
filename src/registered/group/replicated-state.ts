/**
 * @file What the control group agrees on and never loses: the declared configuration in force, which zones are
 * evacuated, which back ends exist, and which have said that they leave. It is the state machine of the log: the same
 * commands give the same state on every member.
 *
 * Heartbeats stay out of it: it says where back ends are, not whether they are alive, so that a group that restarts as
 * a whole need not wait for their next heartbeats. Commands and snapshots are stored, so their fields keep their names.
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

/** A configuration as it was sent, with the version that it carries. */
export interface ConfigDocument {
  readonly version: number;
  /** The text that was sent, to be given back unchanged. */
  readonly text: string;
}

/** A change of the replicated state. */
export type GroupCommand =
  | { readonly type: 'declare-config'; readonly document: ConfigDocument }
  | { readonly type: 'note-departure'; readonly departure: Departure }
  | { readonly type: 'order-zone'; readonly order: ZoneOrder }
  /** Back ends whose first heartbeat came. */
  | { readonly type: 'register-backends'; readonly records: readonly BackendRecord[] }
  /** Back ends that were silent for so long that no flow of theirs can live. */
  | { readonly type: 'forget-backends'; readonly backendIds: readonly string[] };

/** What a command changed. */
export type AppliedChange =
  | { readonly type: 'config-changed'; readonly document: ConfigDocument }
  | { readonly type: 'departure-recorded'; readonly departure: Departure }
  | { readonly type: 'zone-changed'; readonly status: ZoneStatus }
  /** The order does not follow the last one for its zone, and changed nothing. */
  | { readonly type: 'order-outdated'; readonly order: ZoneOrder }
  | { readonly type: 'nothing-changed' };

/**
 * Departures beyond this number are forgotten, oldest first: those of weeks. Not measured; too few would show as back
 * ends that left and are listed again by a late heartbeat.
 */
const MAX_DEPARTURES = 20_000;

const packr = new Packr({ useRecords: false });

interface SnapshotContent {
  readonly config: ConfigDocument | undefined;
  readonly departures: [string, DepartureKind][];
  readonly backends: BackendRecord[];
  /** Absent in states that were written before there were orders. */
  readonly zones?: ZoneStatus[];
}

/** The replicated state. */
export class ReplicatedState {
  readonly zones = createZoneOrders();
  private document: ConfigDocument | undefined;
  private departures = new Map<string, DepartureKind>();
  private backends = new Map<string, BackendRecord>();

  /** The configuration in force. */
  get config(): ConfigDocument | undefined {
    return this.document;
  }

  /** All departures, oldest first. */
  allDepartures(): Departure[] {
    return [...this.departures].map(([backendId, kind]) => ({ backendId, kind }));
  }

  /** The back ends that exist, with the records of their first heartbeats. */
  allBackends(): IterableIterator<BackendRecord> {
    return this.backends.values();
  }

  hasBackend(backendId: string): boolean {
    return this.backends.has(backendId);
  }

  /** @returns the IDs of all starts of a back end that exist or have left, those of the list first */
  startsOf(backend: string): string[] {
    const ids = [...this.backends.keys(), ...this.departures.keys()];
    return ids.filter((id) => startOf(id).backend === backend);
  }

  departureOf(backendId: string): DepartureKind | undefined {
    return this.departures.get(backendId);
  }

  /**
   * Applies a command that is committed.
   * @returns what changed; a version at or below the one held changes nothing, whatever its content
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

  /** @returns the whole state as bytes */
  encode(): Uint8Array {
    const content: SnapshotContent = {
      config: this.document,
      departures: [...this.departures],
      backends: [...this.backends.values()],
      zones: this.zones.all(),
    };
    return packr.pack(content);
  }

  /** Replaces the state by an encoded one. */
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
    this.forgetOldest();
    return { type: 'departure-recorded', departure };
  }

  private orderZone(order: ZoneOrder): AppliedChange {
    switch (this.zones.apply(order)) {
      case 'changed':
        return { type: 'zone-changed', status: this.zones.statusOf(order.zone) };
      case 'known':
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

  private forgetOldest(): void {
    const [oldest] = this.departures.keys();
    if (this.departures.size > MAX_DEPARTURES && oldest !== undefined) {
      this.departures.delete(oldest);
    }
  }
}

/**
 * @returns a command as bytes, for the log
 */
export function encodeGroupCommand(command: GroupCommand): Uint8Array {
  return packr.pack(command);
}

/**
 * @returns the command of a log entry
 */
export function decodeGroupCommand(data: Uint8Array): GroupCommand {
  return packr.unpack(data) as GroupCommand;
}
