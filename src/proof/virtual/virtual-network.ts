/**
 * @file The virtual network: delays by zone, lost, duplicated and reordered datagrams, and silent cuts between hosts.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { RandomSource } from '../../shared/common/step.js';
import type { VirtualClock } from './virtual-clock.js';

/** Faults applied to datagrams; shares from 0 to 1, times in milliseconds. */
export interface DatagramFaults {
  readonly lossShare: number;
  readonly duplicateShare: number;
  /** Maximum random extra delay of a datagram; causes reordering. */
  readonly jitterMs: number;
  /** Maximum random extra delay of a duplicate. */
  readonly maxDuplicateDelayMs: number;
}

/** No loss, duplication or reordering. */
export const reliableNetwork: DatagramFaults = {
  lossShare: 0,
  duplicateShare: 0,
  jitterMs: 0,
  maxDuplicateDelayMs: 0,
};

/** Loss, duplication and reordering. */
export const faultyNetwork: DatagramFaults = {
  lossShare: 0.03,
  duplicateShare: 0.05,
  jitterMs: 10,
  maxDuplicateDelayMs: 1_500,
};

/** One-way delays in milliseconds. */
export interface NetworkDelays {
  readonly withinZoneMs: number;
  readonly betweenZonesMs: number;
}

/** Packets from these hosts to those hosts are dropped silently. */
export interface NetworkCut {
  readonly from: ReadonlySet<string>;
  readonly to: ReadonlySet<string>;
}

/** Receives the datagrams for an address. */
export type DatagramHandler = (datagram: Uint8Array, from: Address) => void;

/** Delivers datagrams between addresses; deterministic for a given random source. */
export class VirtualNetwork {
  faults: DatagramFaults = reliableNetwork;
  private readonly zones = new Map<string, string>();
  private readonly handlers = new Map<string, DatagramHandler>();
  private readonly cuts = new Map<number, NetworkCut>();
  private nextCutId = 1;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly delays: NetworkDelays,
  ) {}

  /** Sets the zone of a host. */
  setZone(host: string, zone: string): void {
    this.zones.set(host, zone);
  }

  /** Sets the datagram handler of an address, replacing any previous one. */
  bind(address: Address, handler: DatagramHandler): void {
    this.handlers.set(formatAddress(address), handler);
  }

  /** Unbinds an address if it is still bound to this handler. */
  release(address: Address, handler: DatagramHandler): void {
    const key = formatAddress(address);
    if (this.handlers.get(key) === handler) {
      this.handlers.delete(key);
    }
  }

  /** @returns the one-way delay between two hosts, in milliseconds */
  delayBetween(from: string, to: string): number {
    const isSameZone = this.zones.get(from) === this.zones.get(to);
    return isSameZone ? this.delays.withinZoneMs : this.delays.betweenZonesMs;
  }

  /** @returns the ID to pass to `heal` */
  cut(cut: NetworkCut): number {
    const id = this.nextCutId;
    this.nextCutId += 1;
    this.cuts.set(id, cut);
    return id;
  }

  heal(cutId: number): void {
    this.cuts.delete(cutId);
  }

  /** @returns true if packets from one host to the other are dropped at present */
  isCut(from: string, to: string): boolean {
    for (const cut of this.cuts.values()) {
      if (cut.from.has(from) && cut.to.has(to)) {
        return true;
      }
    }
    return false;
  }

  /** Sends a datagram to the handler bound to the address at arrival time. */
  send(from: Address, to: Address, datagram: Uint8Array, extraDelayMs = 0): void {
    const deliver = (): void => {
      if (!this.isCut(from.host, to.host)) {
        this.handlers.get(formatAddress(to))?.(datagram, from);
      }
    };
    const delayMs = extraDelayMs + this.delayBetween(from.host, to.host);
    this.transmit(delayMs, deliver);
  }

  /** Carries one datagram over one hop, subject to the network faults. */
  transmit(delayMs: number, deliver: () => void): void {
    const { lossShare, duplicateShare, jitterMs, maxDuplicateDelayMs } = this.faults;
    if (lossShare === 0 || this.random.nextFloat() >= lossShare) {
      const jitter = jitterMs === 0 ? 0 : this.random.nextFloat() * jitterMs;
      this.clock.after(delayMs + jitter, deliver);
    }
    if (duplicateShare > 0 && this.random.nextFloat() < duplicateShare) {
      this.clock.after(delayMs + this.random.nextFloat() * maxDuplicateDelayMs, deliver);
    }
  }
}
