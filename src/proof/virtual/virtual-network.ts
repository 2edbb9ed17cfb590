/**
 * @file The virtual network: delays by zone, datagrams that are lost, doubled and reordered, and silent
 * cuts between hosts.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { RandomSource } from '../../shared/common/step.js';
import type { VirtualClock } from './virtual-clock.js';

/** How datagrams are treated; shares from 0 to 1, times in milliseconds. */
export interface DatagramFaults {
  readonly lossShare: number;
  readonly duplicateShare: number;
  /** Each datagram is delayed by up to this time more, so that datagrams overtake each other. */
  readonly jitterMs: number;
  /** A second copy comes up to this time later. */
  readonly lateCopyMs: number;
}

/** A network that loses, doubles and reorders nothing. */
export const goodNetwork: DatagramFaults = {
  lossShare: 0,
  duplicateShare: 0,
  jitterMs: 0,
  lateCopyMs: 0,
};

/** A network that does all of these. */
export const badNetwork: DatagramFaults = {
  lossShare: 0.03,
  duplicateShare: 0.05,
  jitterMs: 10,
  lateCopyMs: 1_500,
};

/** One-way delays in milliseconds. */
export interface NetworkDelays {
  readonly withinZoneMs: number;
  readonly betweenZonesMs: number;
}

/** Hosts whose packets to other hosts are lost silently. */
export interface NetworkCut {
  readonly from: ReadonlySet<string>;
  readonly to: ReadonlySet<string>;
}

/** Called with the datagrams that come to an address. */
export type DatagramHandler = (datagram: Uint8Array, from: Address) => void;

/** Carries datagrams between addresses, from a seed. */
export class VirtualNetwork {
  faults: DatagramFaults = goodNetwork;
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
  place(host: string, zone: string): void {
    this.zones.set(host, zone);
  }

  /** Calls this handler with the datagrams for an address from now on, in place of the one before. */
  bind(address: Address, handler: DatagramHandler): void {
    this.handlers.set(formatAddress(address), handler);
  }

  /** Frees an address, where this handler still holds it. */
  release(address: Address, handler: DatagramHandler): void {
    const key = formatAddress(address);
    if (this.handlers.get(key) === handler) {
      this.handlers.delete(key);
    }
  }

  /** One-way delay between two hosts. */
  delayBetween(from: string, to: string): number {
    const isSameZone = this.zones.get(from) === this.zones.get(to);
    return isSameZone ? this.delays.withinZoneMs : this.delays.betweenZonesMs;
  }

  /** @returns the cut's number, by which it is healed */
  cut(cut: NetworkCut): number {
    const id = this.nextCutId;
    this.nextCutId += 1;
    this.cuts.set(id, cut);
    return id;
  }

  heal(cutId: number): void {
    this.cuts.delete(cutId);
  }

  /** True where packets from one host to the other are lost at present. */
  isCut(from: string, to: string): boolean {
    for (const cut of this.cuts.values()) {
      if (cut.from.has(from) && cut.to.has(to)) {
        return true;
      }
    }
    return false;
  }

  /** Sends a datagram to the handler that is bound to the address when it arrives. */
  send(from: Address, to: Address, datagram: Uint8Array, extraDelayMs = 0): void {
    const deliver = (): void => {
      if (!this.isCut(from.host, to.host)) {
        this.handlers.get(formatAddress(to))?.(datagram, from);
      }
    };
    const delayMs = extraDelayMs + this.delayBetween(from.host, to.host);
    this.transmit(delayMs, deliver);
  }

  /** Carries one datagram over one hop, with the faults of the network. */
  transmit(delayMs: number, deliver: () => void): void {
    const { lossShare, duplicateShare, jitterMs, lateCopyMs } = this.faults;
    if (lossShare === 0 || this.random.nextFloat() >= lossShare) {
      const jitter = jitterMs === 0 ? 0 : this.random.nextFloat() * jitterMs;
      this.clock.after(delayMs + jitter, deliver);
    }
    if (duplicateShare > 0 && this.random.nextFloat() < duplicateShare) {
      this.clock.after(delayMs + this.random.nextFloat() * lateCopyMs, deliver);
    }
  }
}
