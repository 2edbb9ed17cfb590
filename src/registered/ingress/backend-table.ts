/**
 * @file The back ends that a balancer knows: by service for new flows, by token for established ones. A
 * back end that leaves or falls silent stays resolvable for as long as its flows may live.
 */
import { Buffer } from 'node:buffer';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { AgedRecord } from '../group/group-messages.js';
import { eachLoad, type PackedLoads } from '../load-exchange/backend-load.js';
import { eachAnswerStats, type PackedAnswerStats } from '../load-exchange/answer-stats.js';
import { livenessOf, type LivenessChange, type Liveness } from '../registry/backend-liveness.js';
import {
  isLaterDeparture,
  type BackendRecord,
  type Departure,
  type DepartureKind,
} from '../registry/backend-record.js';
import { tokenOf } from '../registry/backend-token.js';
import { createAnswerRecorder, type AnswerRecorder } from '../decisions/answer-recorder.js';

/** Load of one back end. */
export interface BackendLoad {
  /** Requests that seem to be in progress, with opens that have not brought their request yet. */
  busy: number;
}

/** Load of one back end at the other balancers, and how it answers there. */
export interface FleetLoad extends BackendLoad {
  stalled: number;
  answered: number;
  answerMs: number;
  short: number;
}

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
  /** When its last heartbeat came, in milliseconds; for one that is heard, some time before now. */
  lastHeartbeatAtMs: number;
  departure: DepartureKind | undefined;
  /** What its heartbeats say, as the control machine judges. */
  liveness: Liveness;
  /** What they said when the logs told of it last. */
  loggedLiveness: Liveness;
  /** When a client last showed here that it had got something from it, in milliseconds. */
  lastProgressAtMs: number;
  /** When it left, in milliseconds. */
  departedAtMs: number;
  /** When the heartbeat came that told what is known of it, in milliseconds. */
  recordSentAtMs: number;
  /** Until when it is slow from its start, in milliseconds. */
  warmUntilMs: number;
  /** What passes this balancer. */
  readonly own: BackendLoad;
  /** What passes all other balancers, as the control machine told. */
  readonly fleet: FleetLoad;
  /** How it answers here. */
  readonly answers: AnswerRecorder;
}

const INSTANCE_BYTES = 8;

/** All back ends that a balancer knows. */
export class BackendTable {
  private readonly byId = new Map<string, KnownBackend>();
  private readonly byToken = new Map<number, KnownBackend>();
  /** The newest back end at each address. */
  private readonly byAddress = new Map<string, KnownBackend>();
  private readonly byService = new Map<string, KnownBackend[]>();
  private readonly departures = new Map<string, DepartureKind>();

  /** @param heartbeatIntervalMs time between two heartbeats of a back end */
  constructor(private readonly heartbeatIntervalMs: number) {}

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
  activeOf(service: string): readonly KnownBackend[] {
    return (this.byService.get(service) ?? []).filter(({ departure }) => departure === undefined);
  }

  /** Takes what a back end tells of itself, as the control machine has it. */
  applyRecord({ record, ageMs }: AgedRecord, nowMs: number): void {
    const heardAtMs = nowMs - ageMs;
    const known = this.byId.get(record.id) ?? this.add(record, heardAtMs);
    if (known === undefined) {
      return;
    }
    known.liveness = livenessOf(ageMs, this.heartbeatIntervalMs);
    known.lastHeartbeatAtMs = Math.max(known.lastHeartbeatAtMs, heardAtMs);
    if (record.sequence > known.record.sequence) {
      known.record = record;
      known.recordSentAtMs = heardAtMs;
      known.warmUntilMs = heardAtMs + record.warmUpLeftMs;
    }
  }

  /** Takes another judgement of a back end. */
  applyLiveness({ backendId, liveness, silentMs }: LivenessChange, nowMs: number): void {
    const known = this.byId.get(backendId);
    if (known !== undefined) {
      known.liveness = liveness;
      known.lastHeartbeatAtMs = nowMs - silentMs;
    }
  }

  /** Takes back ends that the control machine knows nothing of as silent from now on. */
  suspectAllBut(ids: ReadonlySet<string>, nowMs: number): void {
    for (const backend of this.byId.values()) {
      if (backend.liveness === 'alive' && !ids.has(backend.id)) {
        backend.liveness = 'suspect';
        backend.lastHeartbeatAtMs = nowMs;
      }
    }
  }

  /** @returns true where a back end that is heard of stands at the address of another one */
  isReplaced({ id, address }: KnownBackend): boolean {
    const holder = this.byAddress.get(formatAddress(address));
    return holder !== undefined && holder.id !== id && holder.liveness === 'alive';
  }

  /** Takes what passes all other balancers, in place of what was told before. */
  applyFleetLoads(loads: PackedLoads): void {
    for (const { fleet } of this.byId.values()) {
      fleet.busy = 0;
    }
    eachLoad(loads, (token, busy) => {
      const others = this.byToken.get(token)?.fleet;
      if (others !== undefined) {
        others.busy = busy;
      }
    });
  }

  /** Takes how back ends answer at all other balancers, in place of what was told before. */
  applyFleetAnswerStats(signals: PackedAnswerStats): void {
    for (const { fleet } of this.byId.values()) {
      Object.assign(fleet, { stalled: 0, answered: 0, answerMs: 0, short: 0 });
    }
    eachAnswerStats(signals, (token, told) => {
      const others = this.byToken.get(token)?.fleet;
      if (others !== undefined) {
        Object.assign(others, told);
      }
    });
  }

  /** Takes the word that a back end leaves; it may come before its first heartbeat. */
  applyDeparture({ backendId, kind }: Departure, nowMs: number): void {
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

  /** Forgets back ends whose flows can't live any more. */
  forget(nowMs: number, lifetimeMs: number): void {
    for (const backend of this.byId.values()) {
      const leftAtMs =
        backend.departure === undefined
          ? backend.lastHeartbeatAtMs
          : Math.max(backend.departedAtMs, backend.lastHeartbeatAtMs);
      if (backend.liveness !== 'alive' && nowMs - leftAtMs > lifetimeMs) {
        this.remove(backend);
      }
    }
  }

  private add(record: BackendRecord, lastHeartbeatAtMs: number): KnownBackend | undefined {
    const backend: KnownBackend = {
      id: record.id,
      service: record.service,
      zone: record.zone,
      address: record.address,
      instanceBytes: Buffer.from(record.instanceNumber, 'hex').subarray(0, INSTANCE_BYTES),
      token: tokenOf(record.instanceNumber),
      record,
      lastHeartbeatAtMs,
      departure: this.departures.get(record.id),
      departedAtMs: lastHeartbeatAtMs,
      liveness: 'alive',
      loggedLiveness: 'alive',
      recordSentAtMs: lastHeartbeatAtMs,
      lastProgressAtMs: Number.NEGATIVE_INFINITY,
      warmUntilMs: lastHeartbeatAtMs + record.warmUpLeftMs,
      own: { busy: 0 },
      fleet: { busy: 0, stalled: 0, answered: 0, answerMs: 0, short: 0 },
      answers: createAnswerRecorder(),
    };
    if (this.byToken.has(backend.token)) {
      // Its flows could not be told from those of the other back end: it takes none.
      return undefined;
    }
    this.byId.set(backend.id, backend);
    this.byToken.set(backend.token, backend);
    this.byAddress.set(formatAddress(backend.address), backend);
    const sameService = this.byService.get(backend.service);
    if (sameService === undefined) {
      this.byService.set(backend.service, [backend]);
    } else {
      sameService.push(backend);
    }
    return backend;
  }

  private remove(backend: KnownBackend): void {
    this.byId.delete(backend.id);
    this.byToken.delete(backend.token);
    const at = formatAddress(backend.address);
    if (this.byAddress.get(at) === backend) {
      this.byAddress.delete(at);
    }
    const sameService = this.byService.get(backend.service) ?? [];
    this.byService.set(
      backend.service,
      sameService.filter(({ id }) => id !== backend.id),
    );
    this.departures.delete(backend.id);
  }
}
