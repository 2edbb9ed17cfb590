/**
 * @file The back ends that a balancer knows: by service for new flows, by token for established ones. A
 * back end that leaves or falls silent stays resolvable for as long as its flows may live.
 */
import { Buffer } from 'node:buffer';
import type { Address } from '../common/address.js';
import type { AgedRecord } from '../group/group-messages.js';
import {
  isLaterDeparture,
  type BackendRecord,
  type Departure,
  type DepartureKind,
} from '../registry/backend-record.js';

/** Load of one back end, in requests and flows. */
export interface BackendLoad {
  /** Requests that seem to be in progress, with opens that have not brought their request yet. */
  busy: number;
  flows: number;
}

/** What a back end's heartbeats say: heard of lately, silent for a while, or for so long that it counts as dead. */
export type Liveness = 'heard' | 'silent' | 'dead';

/** One start of a back end, as a balancer knows it. */
export interface KnownBackend {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly address: Address;
  /** The eight bytes that name it before a packet. */
  readonly instanceBytes: Uint8Array;
  /** Names it in packets of its flows; never 0. */
  readonly token: number;
  record: BackendRecord;
  /** When its last heartbeat came, in milliseconds. */
  heardAtMs: number;
  departure: DepartureKind | undefined;
  /** As it was judged last. */
  liveness: Liveness;
  /** When it left, in milliseconds. */
  departedAtMs: number;
  /** Until when it is slow from its start, in milliseconds. */
  warmUntilMs: number;
  /** What passes this balancer. */
  readonly own: BackendLoad;
  /** What passes the other balancers, from their last reports. */
  readonly others: BackendLoad;
}

const INSTANCE_BYTES = 8;
const TOKEN_BYTES = 4;

/**
 * @param instanceNumber 16 hexadecimal digits
 * @returns the 32-bit token of a back end, the same on every balancer; never 0
 */
export function tokenOf(instanceNumber: string): number {
  const bytes = Buffer.from(instanceNumber, 'hex');
  const folded = (bytes.readUInt32BE(0) ^ bytes.readUInt32BE(TOKEN_BYTES)) >>> 0;
  return folded === 0 ? 1 : folded;
}

/** All back ends that a balancer knows. */
export class BackendTable {
  private readonly byId = new Map<string, KnownBackend>();
  private readonly byToken = new Map<number, KnownBackend>();
  private readonly byService = new Map<string, KnownBackend[]>();
  private readonly departures = new Map<string, DepartureKind>();
  /** When the control machine last told what is current: silence is counted up to here only. */
  private observedAtMs = 0;

  /** How many back ends are known. */
  get size(): number {
    return this.byId.size;
  }

  all(): IterableIterator<KnownBackend> {
    return this.byId.values();
  }

  /** @returns the back end that a token names */
  resolve(token: number): KnownBackend | undefined {
    return this.byToken.get(token);
  }

  find(id: string): KnownBackend | undefined {
    return this.byId.get(id);
  }

  /** @returns the back ends of a service that have not said that they leave */
  staying(service: string): readonly KnownBackend[] {
    return (this.byService.get(service) ?? []).filter(({ departure }) => departure === undefined);
  }

  /** Takes a heartbeat that was passed on. */
  take({ record, ageMs }: AgedRecord, nowMs: number): void {
    const heardAtMs = nowMs - ageMs;
    const known = this.byId.get(record.id);
    if (known === undefined) {
      this.add(record, heardAtMs);
      return;
    }
    if (record.sequence > known.record.sequence) {
      known.record = record;
      known.heardAtMs = heardAtMs;
      known.warmUntilMs = heardAtMs + record.warmUpLeftMs;
    }
  }

  /** Takes the word that a back end leaves; it may come before its first heartbeat. */
  depart({ backendId, kind }: Departure, nowMs: number): void {
    if (!isLaterDeparture(kind, this.departures.get(backendId))) {
      return;
    }
    this.departures.set(backendId, kind);
    const known = this.byId.get(backendId);
    if (known !== undefined) {
      known.departure = kind;
      known.departedAtMs = nowMs;
    }
  }

  /** Notes that what was told is current up to now. */
  observe(nowMs: number): void {
    this.observedAtMs = nowMs;
  }

  /** @returns how long a back end has been silent, as far as that is known, in milliseconds */
  silentMs(backend: KnownBackend): number {
    return Math.max(0, this.observedAtMs - backend.heardAtMs);
  }

  /** Forgets back ends whose flows can't live any more. */
  forget(nowMs: number, lifetimeMs: number): void {
    for (const backend of this.byId.values()) {
      const leftAtMs =
        backend.departure === undefined
          ? backend.heardAtMs
          : Math.max(backend.departedAtMs, backend.heardAtMs);
      if (nowMs - leftAtMs > lifetimeMs && this.silentMs(backend) > lifetimeMs) {
        this.remove(backend);
      }
    }
  }

  private add(record: BackendRecord, heardAtMs: number): void {
    const backend: KnownBackend = {
      id: record.id,
      service: record.service,
      zone: record.zone,
      address: record.address,
      instanceBytes: Buffer.from(record.instanceNumber, 'hex').subarray(0, INSTANCE_BYTES),
      token: tokenOf(record.instanceNumber),
      record,
      heardAtMs,
      departure: this.departures.get(record.id),
      departedAtMs: heardAtMs,
      liveness: 'heard',
      warmUntilMs: heardAtMs + record.warmUpLeftMs,
      own: { busy: 0, flows: 0 },
      others: { busy: 0, flows: 0 },
    };
    if (this.byToken.has(backend.token)) {
      // Its flows could not be told from those of the other back end: it takes none.
      return;
    }
    this.byId.set(backend.id, backend);
    this.byToken.set(backend.token, backend);
    const sameService = this.byService.get(backend.service);
    if (sameService === undefined) {
      this.byService.set(backend.service, [backend]);
    } else {
      sameService.push(backend);
    }
  }

  private remove(backend: KnownBackend): void {
    this.byId.delete(backend.id);
    this.byToken.delete(backend.token);
    const sameService = this.byService.get(backend.service) ?? [];
    this.byService.set(
      backend.service,
      sameService.filter(({ id }) => id !== backend.id),
    );
    this.departures.delete(backend.id);
  }
}
