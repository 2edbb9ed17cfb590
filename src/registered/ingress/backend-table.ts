/**
 * @file Back ends that a balancer has learned from its feed, indexed by service for new flows and by token for established
 * flows. A back end that departs or dies stays resolvable for the maximum lifetime of its flows.
 */
import { formatAddress } from '../../shared/common/address.js';
import type { AgedRecord } from '../group/group-messages.js';
import { eachLoad, type PackedLoads } from '../load-exchange/backend-load.js';
import { eachAnswerStats, type PackedAnswerStats } from '../load-exchange/answer-stats.js';
import { unpackSuspicions, type PackedSuspicions } from '../load-exchange/suspicion-rows.js';
import type { LivenessChange } from '../registry/backend-liveness.js';
import {
  isLaterDeparture,
  type BackendRecord,
  type Departure,
  type DepartureKind,
} from '../registry/backend-record.js';
import type { MechanismSwitches } from '../decisions/mechanism-switches.js';
import { isLaterStart } from '../registry/backend-start.js';
import {
  createBackend,
  type FleetSuspicions,
  type KnownBackend,
  type MutableBackend,
} from './known-backend.js';
import {
  applyHeartbeat,
  applyLivenessChange,
  recordDeparture,
  isExpired,
  markSuspect,
} from './registration.js';

const ZERO_ANSWER_STATS = { stalled: 0, answered: 0, answerMs: 0, short: 0 };

/** The back ends of a balancer. A restarted back end has one entry per start. */
export class BackendTable {
  private readonly byId = new Map<string, MutableBackend>();
  private readonly byToken = new Map<number, MutableBackend>();
  /** Newest start by token without start; see `BackendIdentity.plainToken`. */
  private readonly byPlainToken = new Map<number, MutableBackend>();
  /** Newest start by back end name. */
  private readonly byName = new Map<string, MutableBackend>();
  /** Newest back end by address. */
  private readonly byAddress = new Map<string, MutableBackend>();
  private readonly byService = new Map<string, MutableBackend[]>();
  private readonly departures = new Map<string, DepartureKind>();

  /**
   * @param heartbeatIntervalMs time between two heartbeats of a back end
   * @param tokens whether flow tokens identify the start of the back end
   */
  constructor(
    private readonly heartbeatIntervalMs: number,
    private readonly tokens: MechanismSwitches['starts'] = 'named',
  ) {}

  get size(): number {
    return this.byId.size;
  }

  all(): IterableIterator<KnownBackend> {
    return this.byId.values();
  }

  /** @returns the back end that a token identifies, including departed and dead ones */
  resolve(token: number): KnownBackend | undefined {
    return this.byToken.get(token) ?? this.byPlainToken.get(token);
  }

  find(id: string): KnownBackend | undefined {
    return this.byId.get(id);
  }

  /** @returns the back ends of a service that have not departed */
  activeOf(service: string): readonly KnownBackend[] {
    return (this.byService.get(service) ?? []).filter(
      ({ registration }) => registration.departure === undefined,
    );
  }

  /** @returns true if another back end at the same address is alive */
  isReplaced({ id, address }: KnownBackend): boolean {
    const holder = this.byAddress.get(formatAddress(address));
    return holder !== undefined && holder.id !== id && holder.registration.liveness === 'alive';
  }

  /**
   * @returns a later start of the same back end that is alive, in which case the state of this start is lost; undefined
   *   if there is none
   */
  successorOf({ id, start }: KnownBackend): KnownBackend | undefined {
    const newest = this.byName.get(start.backend);
    const isLater = newest !== undefined && newest.id !== id;
    return isLater && newest.registration.liveness === 'alive' ? newest : undefined;
  }

  /**
   * Updates the back end of a record, or adds it.
   * @param keepsHolder true if it takes no address that another back end holds
   */
  applyRecord(aged: AgedRecord, nowMs: number, keepsHolder = false): void {
    const { record, ageMs } = aged;
    const backend = this.byId.get(record.id) ?? this.add(record, nowMs - ageMs, keepsHolder);
    if (backend !== undefined) {
      applyHeartbeat(backend.registration, aged, this.heartbeatIntervalMs, nowMs);
    }
  }

  /** Applies a liveness change; ignored if the back end is unknown. */
  applyLiveness(change: LivenessChange, nowMs: number): void {
    const backend = this.byId.get(change.backendId);
    if (backend !== undefined) {
      applyLivenessChange(backend.registration, change, nowMs);
    }
  }

  /** Marks live back ends as suspect if a full sync did not name them. */
  suspectMissing(namedIds: ReadonlySet<string>, nowMs: number): void {
    for (const { id, registration } of this.byId.values()) {
      if (registration.liveness === 'alive' && !namedIds.has(id)) {
        markSuspect(registration, nowMs);
      }
    }
  }

  /** @returns the newest departures of back ends without a record, `count` at most */
  unregisteredDepartures(count: number): Departure[] {
    return [...this.departures]
      .filter(([backendId]) => !this.byId.has(backendId))
      .slice(-count)
      .map(([backendId, kind]) => ({ backendId, kind }));
  }

  /** Applies a departure, which may arrive before the first record of the back end. */
  applyDeparture({ backendId, kind }: Departure, nowMs: number): void {
    if (!isLaterDeparture(kind, this.departures.get(backendId))) {
      return;
    }
    this.departures.set(backendId, kind);
    const backend = this.byId.get(backendId);
    if (backend !== undefined) {
      recordDeparture(backend.registration, kind, nowMs);
    }
  }

  /** Replaces the fleet load of all back ends; those not listed get 0. */
  applyFleetLoads(loads: PackedLoads): void {
    for (const { fleet } of this.byId.values()) {
      fleet.busy = 0;
    }
    eachLoad(loads, (token, busy) => {
      const fleet = this.byToken.get(token)?.fleet;
      if (fleet !== undefined) {
        fleet.busy = busy;
      }
    });
  }

  /** Replaces the fleet answer stats of all back ends; those not listed get 0. */
  applyFleetAnswerStats(packed: PackedAnswerStats): void {
    for (const { fleet } of this.byId.values()) {
      Object.assign(fleet, ZERO_ANSWER_STATS);
    }
    eachAnswerStats(packed, (token, stats) => {
      const fleet = this.byToken.get(token)?.fleet;
      if (fleet !== undefined) {
        Object.assign(fleet, stats);
      }
    });
  }

  /** Replaces the suspicions of all balancers; back ends not listed have none. */
  applyFleetSuspicions(packed: PackedSuspicions, nowMs: number): void {
    const previous = new Map<MutableBackend, FleetSuspicions>();
    for (const backend of this.byId.values()) {
      if (hasSuspicions(backend)) {
        previous.set(backend, backend.fleet.suspicions);
        backend.fleet.suspicions = {};
      }
    }
    for (const suspicion of unpackSuspicions(packed, nowMs)) {
      const backend = this.byToken.get(suspicion.token);
      if (backend !== undefined) {
        const { kind } = suspicion;
        const reportedSinceMs = previous.get(backend)?.[kind]?.reportedSinceMs ?? nowMs;
        const { lastSignsAtMs } = backend.fleet;
        lastSignsAtMs[kind] = Math.max(lastSignsAtMs[kind], suspicion.lastSignAtMs);
        const reported = { ...suspicion, receivedAtMs: nowMs, reportedSinceMs };
        backend.fleet.suspicions = { ...backend.fleet.suspicions, [kind]: reported };
      }
    }
  }

  /** Removes back ends that can have no live flows. */
  removeExpired(nowMs: number, flowLifetimeMs: number): void {
    for (const backend of this.byId.values()) {
      if (isExpired(backend.registration, flowLifetimeMs, nowMs)) {
        this.remove(backend);
      }
    }
  }

  /**
   * @returns undefined if a different back end has the same token, since packets could not be told apart
   */
  private add(
    record: BackendRecord,
    receivedAtMs: number,
    keepsHolder: boolean,
  ): MutableBackend | undefined {
    const departure = this.departures.get(record.id);
    const backend = createBackend(record, receivedAtMs, departure, this.tokens);
    const existing = this.byToken.get(backend.token);
    if (existing !== undefined && existing.start.backend !== backend.start.backend) {
      return undefined;
    }
    this.byId.set(backend.id, backend);
    this.setNewest(this.byName, backend.start.backend, backend);
    this.setNewest(this.byToken, backend.token, backend);
    this.setNewest(this.byPlainToken, backend.plainToken, backend);
    const address = formatAddress(backend.address);
    const isKept = keepsHolder && this.byAddress.has(address);
    if (this.successorOf(backend) === undefined && !isKept) {
      this.byAddress.set(address, backend);
    }
    const sameService = this.byService.get(backend.service);
    if (sameService === undefined) {
      this.byService.set(backend.service, [backend]);
    } else {
      sameService.push(backend);
    }
    return backend;
  }

  /** Sets an entry unless it belongs to a different back end, or to a later start of the same one. */
  private setNewest<Key>(index: Map<Key, MutableBackend>, key: Key, backend: MutableBackend): void {
    const current = index.get(key);
    if (
      current === undefined ||
      (current.start.backend === backend.start.backend &&
        isLaterStart(backend.start, current.start))
    ) {
      index.set(key, backend);
    }
  }

  private remove(backend: MutableBackend): void {
    this.byId.delete(backend.id);
    deleteIfMappedTo(this.byName, backend.start.backend, backend);
    deleteIfMappedTo(this.byToken, backend.token, backend);
    deleteIfMappedTo(this.byPlainToken, backend.plainToken, backend);
    deleteIfMappedTo(this.byAddress, formatAddress(backend.address), backend);
    const sameService = this.byService.get(backend.service) ?? [];
    this.byService.set(
      backend.service,
      sameService.filter(({ id }) => id !== backend.id),
    );
    this.departures.delete(backend.id);
  }
}

function hasSuspicions({ fleet }: KnownBackend): boolean {
  return fleet.suspicions.unacknowledged !== undefined || fleet.suspicions.unanswered !== undefined;
}

function deleteIfMappedTo<Key>(
  index: Map<Key, MutableBackend>,
  key: Key,
  backend: MutableBackend,
): void {
  if (index.get(key) === backend) {
    index.delete(key);
  }
}
