/**
 * @file The registry of back ends: last heartbeat and liveness of each start. It is soft state, rebuilt from the next
 * heartbeats. Heartbeats also arrive through other control machines, so duplicates and reordered ones are dropped by
 * sequence number.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { createAddressHolders, type AddressHolders } from './address-holders.js';
import { livenessOf, type LivenessChange, type Liveness } from './backend-liveness.js';
import type { BackendRecord } from './backend-record.js';
import { createCurrentStarts, type CurrentStarts } from './current-starts.js';

/** The effect of a heartbeat. */
type HeartbeatOutcome =
  /** Dropped: a duplicate, or overtaken by a later one of the same start. */
  | 'late'
  /** The record is unchanged. */
  | 'alive'
  /** The back end is new, or its record differs from the last one. */
  | 'changed';

/** The last heartbeat of a back end, and its liveness as of the last update. */
interface RegisteredBackend {
  readonly record: BackendRecord;
  /** On the clock of this process, in milliseconds; an assumed time if no heartbeat arrived here. */
  readonly firstHeartbeatAtMs: number;
  /** On the clock of this process, in milliseconds. */
  readonly lastHeartbeatAtMs: number;
  readonly liveness: Liveness;
}

/** Larger than the network jitter of heartbeats, so that only a real change of a warm-up is sent to balancers. */
const WARM_UP_TOLERANCE_MS = 500;

/** The last heartbeat and the liveness of each back end. */
export class HeartbeatRegistry {
  private readonly records = new Map<string, RegisteredBackend>();
  private readonly addressHolders: AddressHolders;
  private readonly currentStarts: CurrentStarts;

  /** @param heartbeatIntervalMs time between two heartbeats of a back end */
  constructor(private readonly heartbeatIntervalMs: number) {
    this.addressHolders = createAddressHolders(heartbeatIntervalMs);
    this.currentStarts = createCurrentStarts(heartbeatIntervalMs);
  }

  /** Number of known back ends. */
  get size(): number {
    return this.records.size;
  }

  get(id: string): RegisteredBackend | undefined {
    return this.records.get(id);
  }

  /** All known back ends, in the order of their first heartbeats here. */
  all(): IterableIterator<RegisteredBackend> {
    return this.records.values();
  }

  /** @returns true if another back end holds its address, or another start of the same back end is current */
  isSuperseded(id: string): boolean {
    return this.addressHolders.isSuperseded(id) || this.currentStarts.isSuperseded(id);
  }

  /** @returns true if another start of the same back end is current */
  isSupersededByOtherStart(id: string): boolean {
    return this.currentStarts.isSuperseded(id);
  }

  /** @returns the ID of the current start of a back end */
  currentStartOf(backend: string): string | undefined {
    return this.currentStarts.currentOf(backend);
  }

  /** @returns the ID of the back end that holds an address */
  holderOf(address: Address): string | undefined {
    return this.addressHolders.holderOf(address);
  }

  /** Applies a heartbeat; `receivedAtMs` is on the clock of this process. */
  apply(record: BackendRecord, receivedAtMs: number): HeartbeatOutcome {
    const known = this.records.get(record.id);
    if (known !== undefined && known.record.sequence >= record.sequence) {
      return 'late';
    }
    if (known !== undefined && !isSameAddress(known.record, record)) {
      this.addressHolders.remove(record.id, known.record.address);
    }
    this.currentStarts.recordHeartbeat(record.id, receivedAtMs);
    if (!this.currentStarts.isSuperseded(record.id)) {
      // A superseded start must not take the address of the current one.
      this.addressHolders.recordHeartbeat(record.id, record.address, receivedAtMs);
    }
    return this.store(record, receivedAtMs, known);
  }

  /** Adds a back end of the replicated list that has sent no heartbeat here, as if it had at `assumedAtMs`. */
  applyListed(record: BackendRecord, assumedAtMs: number): void {
    this.currentStarts.recordListed(record.id);
    this.addressHolders.recordListed(record.id, record.address);
    this.store(record, assumedAtMs, undefined);
  }

  private store(
    record: BackendRecord,
    lastHeartbeatAtMs: number,
    known: RegisteredBackend | undefined,
  ): HeartbeatOutcome {
    const liveness = known?.liveness ?? 'alive';
    const firstHeartbeatAtMs = known?.firstHeartbeatAtMs ?? lastHeartbeatAtMs;
    this.records.set(record.id, { record, firstHeartbeatAtMs, lastHeartbeatAtMs, liveness });
    return known !== undefined && isUnchanged(known, record, lastHeartbeatAtMs)
      ? 'alive'
      : 'changed';
  }

  /**
   * Updates the liveness of all back ends; a superseded one is dead.
   * @param listeningSinceMs time since which this machine gets all heartbeats; earlier silence does not count
   * @returns the changes
   */
  updateLiveness(nowMs: number, listeningSinceMs: number): LivenessChange[] {
    const changes: LivenessChange[] = [];
    for (const [backendId, known] of this.records) {
      const silentMs = nowMs - Math.max(known.lastHeartbeatAtMs, listeningSinceMs);
      const liveness = this.isSuperseded(backendId)
        ? 'dead'
        : livenessOf(silentMs, this.heartbeatIntervalMs);
      if (liveness !== known.liveness) {
        this.records.set(backendId, { ...known, liveness });
        changes.push({ backendId, liveness, silentMs: Math.max(0, Math.round(silentMs)) });
      }
    }
    return changes;
  }

  /** Removes back ends that have been silent for longer than `afterMs`. */
  removeSilent(nowMs: number, afterMs: number): void {
    for (const [id, { record, lastHeartbeatAtMs }] of this.records) {
      if (nowMs - lastHeartbeatAtMs > afterMs) {
        this.records.delete(id);
        this.addressHolders.remove(id, record.address);
        this.currentStarts.remove(id);
      }
    }
  }
}

function isUnchanged(
  known: RegisteredBackend,
  record: BackendRecord,
  receivedAtMs: number,
): boolean {
  const { record: before } = known;
  const expectedWarmUpMs = Math.max(
    0,
    before.warmUpLeftMs - (receivedAtMs - known.lastHeartbeatAtMs),
  );
  return (
    before.service === record.service &&
    before.zone === record.zone &&
    before.capacity === record.capacity &&
    isSameAddress(before, record) &&
    Math.abs(expectedWarmUpMs - record.warmUpLeftMs) <= WARM_UP_TOLERANCE_MS
  );
}

function isSameAddress(one: BackendRecord, other: BackendRecord): boolean {
  return formatAddress(one.address) === formatAddress(other.address);
}
