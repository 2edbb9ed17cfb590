/**
 * @file The back ends that a balancer knows: by service for new flows, by token for established ones. It owns what
 * control machines say of them (registration, load of the fleet) and changes it as the feed is applied. A back end that
 * leaves or falls silent stays resolvable for as long as its flows may live.
 */
import { formatAddress } from '../../shared/common/address.js';
import type { AgedRecord } from '../group/group-messages.js';
import { eachLoad, type PackedLoads } from '../load-exchange/backend-load.js';
import { eachAnswerStats, type PackedAnswerStats } from '../load-exchange/answer-stats.js';
import type { LivenessChange } from '../registry/backend-liveness.js';
import {
  isLaterDeparture,
  type BackendRecord,
  type Departure,
  type DepartureKind,
} from '../registry/backend-record.js';
import type { MechanismSwitches } from '../decisions/mechanism-switches.js';
import { isLaterStart } from '../registry/backend-start.js';
import { createBackend, type KnownBackend, type OwnedBackend } from './known-backend.js';
import { applyHeartbeat, applyLivenessChange, depart, isOver, suspect } from './registration.js';

const NO_ANSWERS = { stalled: 0, answered: 0, answerMs: 0, short: 0 };

/** All back ends that a balancer knows. */
export class BackendTable {
  private readonly byId = new Map<string, OwnedBackend>();
  private readonly byToken = new Map<number, OwnedBackend>();
  /** The newest start that a token without a start may name. */
  private readonly byPlainToken = new Map<number, OwnedBackend>();
  /** The newest start of each back end. */
  private readonly byName = new Map<string, OwnedBackend>();
  /** The newest back end at each address. */
  private readonly byAddress = new Map<string, OwnedBackend>();
  private readonly byService = new Map<string, OwnedBackend[]>();
  private readonly departures = new Map<string, DepartureKind>();

  /**
   * @param heartbeatIntervalMs time between two heartbeats of a back end
   * @param tokens whether the tokens of flows name the start of their back end
   */
  constructor(
    private readonly heartbeatIntervalMs: number,
    private readonly tokens: MechanismSwitches['starts'] = 'named',
  ) {}

  /** How many back ends are known. */
  get size(): number {
    return this.byId.size;
  }

  all(): IterableIterator<KnownBackend> {
    return this.byId.values();
  }

  /** @returns the back end that a token names */
  resolve(token: number): KnownBackend | undefined {
    return this.byToken.get(token) ?? this.byPlainToken.get(token);
  }

  find(id: string): KnownBackend | undefined {
    return this.byId.get(id);
  }

  /** @returns the active back ends of a service */
  activeOf(service: string): readonly KnownBackend[] {
    return (this.byService.get(service) ?? []).filter(
      ({ registration }) => registration.departure === undefined,
    );
  }

  /** @returns true where a back end that is alive stands at the address of another one */
  isReplaced({ id, address }: KnownBackend): boolean {
    const holder = this.byAddress.get(formatAddress(address));
    return holder !== undefined && holder.id !== id && holder.registration.liveness === 'alive';
  }

  /**
   * @returns the later start of the same back end that has begun and counts as alive, so that nothing of this one is left;
   *   undefined where there is none
   */
  successorOf({ id, start }: KnownBackend): KnownBackend | undefined {
    const newest = this.byName.get(start.backend);
    const isLater = newest !== undefined && newest.id !== id;
    return isLater && newest.registration.liveness === 'alive' ? newest : undefined;
  }

  /** Applies the record of a back end; one that is not known yet is added. */
  applyRecord(aged: AgedRecord, nowMs: number): void {
    const { record, ageMs } = aged;
    const backend = this.byId.get(record.id) ?? this.add(record, nowMs - ageMs);
    if (backend !== undefined) {
      applyHeartbeat(backend.registration, aged, this.heartbeatIntervalMs, nowMs);
    }
  }

  /** Applies a change of liveness; one of a back end that is not known is left out. */
  applyLiveness(change: LivenessChange, nowMs: number): void {
    const backend = this.byId.get(change.backendId);
    if (backend !== undefined) {
      applyLivenessChange(backend.registration, change, nowMs);
    }
  }

  /** Suspects back ends that are alive here and that a full sync did not name. */
  suspectAllBut(ids: ReadonlySet<string>, nowMs: number): void {
    for (const { id, registration } of this.byId.values()) {
      if (registration.liveness === 'alive' && !ids.has(id)) {
        suspect(registration, nowMs);
      }
    }
  }

  /** Applies a departure; it may come before the first record of its back end. */
  applyDeparture({ backendId, kind }: Departure, nowMs: number): void {
    if (!isLaterDeparture(kind, this.departures.get(backendId))) {
      return;
    }
    this.departures.set(backendId, kind);
    const backend = this.byId.get(backendId);
    if (backend !== undefined) {
      depart(backend.registration, kind, nowMs);
    }
  }

  /** Replaces the loads of the fleet; back ends that are not named have none. */
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

  /** Replaces the answer stats of the fleet; back ends that are not named have none. */
  applyFleetAnswerStats(packed: PackedAnswerStats): void {
    for (const { fleet } of this.byId.values()) {
      Object.assign(fleet, NO_ANSWERS);
    }
    eachAnswerStats(packed, (token, stats) => {
      const fleet = this.byToken.get(token)?.fleet;
      if (fleet !== undefined) {
        Object.assign(fleet, stats);
      }
    });
  }

  /** Forgets back ends whose flows can't live any more. */
  forget(nowMs: number, flowLifetimeMs: number): void {
    for (const backend of this.byId.values()) {
      if (isOver(backend.registration, flowLifetimeMs, nowMs)) {
        this.remove(backend);
      }
    }
  }

  /**
   * @returns undefined where another back end, no start of the same one, has the same token, so that packets could not
   *   tell them apart
   */
  private add(record: BackendRecord, receivedAtMs: number): OwnedBackend | undefined {
    const departure = this.departures.get(record.id);
    const backend = createBackend(record, receivedAtMs, departure, this.tokens);
    const same = this.byToken.get(backend.token);
    if (same !== undefined && same.start.backend !== backend.start.backend) {
      return undefined;
    }
    this.byId.set(backend.id, backend);
    this.setNewest(this.byName, backend.start.backend, backend);
    this.setNewest(this.byToken, backend.token, backend);
    this.setNewest(this.byPlainToken, backend.plainToken, backend);
    if (this.successorOf(backend) === undefined) {
      this.byAddress.set(formatAddress(backend.address), backend);
    }
    const sameService = this.byService.get(backend.service);
    if (sameService === undefined) {
      this.byService.set(backend.service, [backend]);
    } else {
      sameService.push(backend);
    }
    return backend;
  }

  /** A later start of a back end takes a place from the one before it, and no other back end does. */
  private setNewest<Key>(places: Map<Key, OwnedBackend>, key: Key, backend: OwnedBackend): void {
    const before = places.get(key);
    if (
      before === undefined ||
      (before.start.backend === backend.start.backend && isLaterStart(backend.start, before.start))
    ) {
      places.set(key, backend);
    }
  }

  private remove(backend: OwnedBackend): void {
    this.byId.delete(backend.id);
    deleteOwn(this.byName, backend.start.backend, backend);
    deleteOwn(this.byToken, backend.token, backend);
    deleteOwn(this.byPlainToken, backend.plainToken, backend);
    deleteOwn(this.byAddress, formatAddress(backend.address), backend);
    const sameService = this.byService.get(backend.service) ?? [];
    this.byService.set(
      backend.service,
      sameService.filter(({ id }) => id !== backend.id),
    );
    this.departures.delete(backend.id);
  }
}

function deleteOwn<Key>(places: Map<Key, OwnedBackend>, key: Key, backend: OwnedBackend): void {
  if (places.get(key) === backend) {
    places.delete(key);
  }
}
