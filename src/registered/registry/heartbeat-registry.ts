/**
 * @file The heartbeats of back ends as one control machine knows them: state that is rebuilt from the
 * next heartbeats wherever it is lost, and so is never written to disk.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { createAddressHolders, type AddressHolders } from './address-holders.js';
import { livenessOf, type LivenessChange, type Liveness } from './backend-liveness.js';
import type { BackendRecord } from './backend-record.js';

/** A record with the time at which its heartbeat came. */
export interface ReceivedRecord {
  readonly record: BackendRecord;
  /** On the clock of this process, in milliseconds. */
  readonly lastHeartbeatAtMs: number;
}

/** What a heartbeat brought. */
export type HeartbeatOutcome =
  /** It came after a later one of the same back end, and was passed over. */
  | 'late'
  /** The back end is alive; all else is as it was. */
  | 'alive'
  /** A back end not heard of before, or one that tells something else of itself. */
  | 'changed';

/** A record as it was judged last. */
export interface RegisteredBackend extends ReceivedRecord {
  readonly liveness: Liveness;
}

/** A warm-up that ends earlier or later than was told by more than this is news. */
const WARM_UP_TOLERANCE_MS = 500;

/** The last heartbeat of each back end. */
export class HeartbeatRegistry {
  private readonly records = new Map<string, RegisteredBackend>();
  private readonly holders: AddressHolders;

  /** @param heartbeatIntervalMs time between two heartbeats of a back end */
  constructor(private readonly heartbeatIntervalMs: number) {
    this.holders = createAddressHolders(heartbeatIntervalMs);
  }

  /** How many back ends are known. */
  get size(): number {
    return this.records.size;
  }

  get(id: string): RegisteredBackend | undefined {
    return this.records.get(id);
  }

  /** All known back ends, in the order in which they were first heard of. */
  all(): IterableIterator<RegisteredBackend> {
    return this.records.values();
  }

  /** @returns true where another back end holds the address of this one */
  isSuperseded(id: string): boolean {
    return this.holders.isSuperseded(id);
  }

  /** @returns the back end that holds an address */
  holderOf(address: Address): string | undefined {
    return this.holders.holderOf(address);
  }

  /** Takes a heartbeat. */
  apply(record: BackendRecord, heardAtMs: number): HeartbeatOutcome {
    const known = this.records.get(record.id);
    if (known !== undefined && known.record.sequence >= record.sequence) {
      return 'late';
    }
    if (known !== undefined && !isSameAddress(known.record, record)) {
      this.holders.remove(record.id, known.record.address);
    }
    this.holders.recordHeartbeat(record.id, record.address, heardAtMs);
    return this.keep(record, heardAtMs, known);
  }

  /** Takes a back end of the replicated list that nothing was heard of here. */
  applyListed(record: BackendRecord, heardAtMs: number): void {
    this.holders.recordListed(record.id, record.address);
    this.keep(record, heardAtMs, undefined);
  }

  private keep(
    record: BackendRecord,
    lastHeartbeatAtMs: number,
    known: RegisteredBackend | undefined,
  ): HeartbeatOutcome {
    const liveness = known?.liveness ?? 'alive';
    this.records.set(record.id, { record, lastHeartbeatAtMs, liveness });
    return known !== undefined && isUnchanged(known, record, lastHeartbeatAtMs)
      ? 'alive'
      : 'changed';
  }

  /**
   * Judges all back ends anew.
   * @param listeningSinceMs since when this machine hears of all heartbeats; silence before does not count
   * @returns those that are judged otherwise than before
   */
  updateLiveness(nowMs: number, listeningSinceMs: number): LivenessChange[] {
    const judgements: LivenessChange[] = [];
    for (const [backendId, known] of this.records) {
      const silentMs = nowMs - Math.max(known.lastHeartbeatAtMs, listeningSinceMs);
      const liveness = this.isSuperseded(backendId)
        ? 'dead'
        : livenessOf(silentMs, this.heartbeatIntervalMs);
      if (liveness !== known.liveness) {
        this.records.set(backendId, { ...known, liveness });
        judgements.push({ backendId, liveness, silentMs: Math.max(0, Math.round(silentMs)) });
      }
    }
    return judgements;
  }

  /** Forgets back ends that have been silent for longer than `afterMs`. */
  forgetSilent(nowMs: number, afterMs: number): void {
    for (const [id, { record, lastHeartbeatAtMs }] of this.records) {
      if (nowMs - lastHeartbeatAtMs > afterMs) {
        this.records.delete(id);
        this.holders.remove(id, record.address);
      }
    }
  }
}

function isUnchanged(known: ReceivedRecord, record: BackendRecord, heardAtMs: number): boolean {
  const { record: before } = known;
  const expectedWarmUpMs = Math.max(0, before.warmUpLeftMs - (heardAtMs - known.lastHeartbeatAtMs));
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
