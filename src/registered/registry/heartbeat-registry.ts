/**
 * @file Which heartbeats count, and which of them change anything?
 *
 * Inputs: a record with its sequence number, when its heartbeat came, and the last one that is known of the same start
 * of the back end; times in milliseconds on the clock of this process. Returns `late`, `alive` or `changed`. A
 * heartbeat whose sequence number is not above the known one is late and changes nothing: heartbeats reach a control
 * machine directly and through others, so the same one may come twice or overtaken.
 *
 * The registry owns the last heartbeat and the liveness of each back end. It is soft state, rebuilt from the next
 * heartbeats wherever it is lost. It relies on address-holders.ts for reused addresses and on backend-liveness.ts for
 * the meaning of silence, and on start-holders.ts for back ends that start again.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { createAddressHolders, type AddressHolders } from './address-holders.js';
import { livenessOf, type LivenessChange, type Liveness } from './backend-liveness.js';
import type { BackendRecord } from './backend-record.js';
import { createStartHolders, type StartHolders } from './start-holders.js';

/** What a heartbeat changed. */
type HeartbeatOutcome =
  /** It came after a later one of the same back end, and was dropped. */
  | 'late'
  /** The back end is alive; all else is as it was. */
  | 'alive'
  /** The back end was not known, or its record says something else than before. */
  | 'changed';

/** The last heartbeat of a back end, and its liveness as it was updated last. */
interface RegisteredBackend {
  readonly record: BackendRecord;
  /** On the clock of this process, in milliseconds; for one that is only listed, the time that was assumed. */
  readonly firstHeartbeatAtMs: number;
  /** On the clock of this process, in milliseconds. */
  readonly lastHeartbeatAtMs: number;
  readonly liveness: Liveness;
}

/**
 * A warm-up whose end moves by more than this is a change that balancers are sent. Not measured; it has to exceed the
 * jitter of heartbeats on their way, or each of them would be a change.
 */
const WARM_UP_TOLERANCE_MS = 500;

/** The last heartbeat of each back end. */
export class HeartbeatRegistry {
  private readonly records = new Map<string, RegisteredBackend>();
  private readonly holders: AddressHolders;
  private readonly starts: StartHolders;

  /** @param heartbeatIntervalMs time between two heartbeats of a back end */
  constructor(private readonly heartbeatIntervalMs: number) {
    this.holders = createAddressHolders(heartbeatIntervalMs);
    this.starts = createStartHolders(heartbeatIntervalMs);
  }

  /** How many back ends are known. */
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

  /** @returns true where another back end holds the address of this one, or another start of it is current */
  isSuperseded(id: string): boolean {
    return this.holders.isSuperseded(id) || this.starts.isSuperseded(id);
  }

  /** @returns true where another start of the same back end is current */
  isOtherStartCurrent(id: string): boolean {
    return this.starts.isSuperseded(id);
  }

  /** @returns the ID of the current start of a back end */
  currentStartOf(backend: string): string | undefined {
    return this.starts.currentOf(backend);
  }

  /** @returns the back end that holds an address */
  holderOf(address: Address): string | undefined {
    return this.holders.holderOf(address);
  }

  /** Applies a heartbeat that came at a time of this process's clock, in milliseconds. */
  apply(record: BackendRecord, receivedAtMs: number): HeartbeatOutcome {
    const known = this.records.get(record.id);
    if (known !== undefined && known.record.sequence >= record.sequence) {
      return 'late';
    }
    if (known !== undefined && !isSameAddress(known.record, record)) {
      this.holders.remove(record.id, known.record.address);
    }
    this.starts.recordHeartbeat(record.id, receivedAtMs);
    if (!this.starts.isSuperseded(record.id)) {
      // A start that is over takes no address from whoever has it now.
      this.holders.recordHeartbeat(record.id, record.address, receivedAtMs);
    }
    return this.store(record, receivedAtMs, known);
  }

  /** Adds a back end of the replicated list of which no heartbeat came here, as if one had at that time. */
  applyListed(record: BackendRecord, assumedAtMs: number): void {
    this.starts.recordListed(record.id);
    this.holders.recordListed(record.id, record.address);
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
   * Updates the liveness of all back ends; one whose address another one holds is dead.
   * @param listeningSinceMs since when this machine gets all heartbeats; silence before does not count
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

  /** Forgets back ends that have been silent for longer than `afterMs`. */
  forgetSilent(nowMs: number, afterMs: number): void {
    for (const [id, { record, lastHeartbeatAtMs }] of this.records) {
      if (nowMs - lastHeartbeatAtMs > afterMs) {
        this.records.delete(id);
        this.holders.remove(id, record.address);
        this.starts.remove(id);
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
