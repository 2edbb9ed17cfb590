/**
 * @file Which start of a back end an address belongs to. A back end that crashes says nothing, and the next
 * one may start at its address before its silence is noticed; a heartbeat that a cut held up may even come
 * after the next one's first. New flows for the one that is gone would get no answer.
 *
 * The newcomer holds the address at once. One that is superseded holds it again only by heartbeats that go
 * on while the holder's do not: what was held up on the network comes once, a process goes on.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';

/** Who holds which address. */
export interface AddressHolders {
  /** Takes a heartbeat of a back end that tells this address for the first time, or again. */
  recordHeartbeat(id: string, address: Address, heardAtMs: number): void;
  /**
   * Takes a back end of the replicated list, which is in the order in which back ends were first heard of. It
   * gives way to any that was heard here.
   */
  recordListed(id: string, address: Address): void;
  /** @returns true where another one holds its address */
  isSuperseded(id: string): boolean;
  /** @returns who holds an address */
  holderOf(address: Address): string | undefined;
  /** A back end is forgotten, or tells another address from now on. */
  remove(id: string, address: Address): void;
}

interface Holder {
  readonly id: string;
  /** Undefined for one that is only listed. */
  lastHeartbeatAtMs: number | undefined;
}

interface Superseded {
  /** Its first heartbeat since the holder's last one. */
  firstHeartbeatAtMs: number | undefined;
}

/**
 * Two heartbeats of a running process are one interval apart, give or take some; those that a cut held up
 * come together when it heals.
 */
const PROOF_INTERVALS = 0.75;
/** A holder that is heard of again within this many intervals runs. */
const HOLDER_SILENT_INTERVALS = 1.5;

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function createAddressHolders(heartbeatIntervalMs: number): AddressHolders {
  const holders = new Map<string, Holder>();
  const superseded = new Map<string, Superseded>();

  return {
    recordHeartbeat,
    recordListed,
    isSuperseded: (id) => superseded.has(id),
    holderOf: (address) => holders.get(formatAddress(address))?.id,
    remove,
  };

  function recordHeartbeat(id: string, address: Address, lastHeartbeatAtMs: number): void {
    const at = formatAddress(address);
    const holder = holders.get(at);
    if (holder?.id === id) {
      holder.lastHeartbeatAtMs = Math.max(
        lastHeartbeatAtMs,
        holder.lastHeartbeatAtMs ?? lastHeartbeatAtMs,
      );
    } else if (holder === undefined || isProven(id, holder, lastHeartbeatAtMs)) {
      hold(at, { id, lastHeartbeatAtMs });
    }
  }

  function recordListed(id: string, address: Address): void {
    const at = formatAddress(address);
    const holder = holders.get(at);
    if (holder?.lastHeartbeatAtMs === undefined) {
      hold(at, { id, lastHeartbeatAtMs: undefined });
    } else if (holder.id !== id) {
      superseded.set(id, { firstHeartbeatAtMs: undefined });
    }
  }

  function hold(at: string, holder: Holder): void {
    const before = holders.get(at);
    if (before !== undefined && before.id !== holder.id) {
      superseded.set(before.id, { firstHeartbeatAtMs: undefined });
    }
    superseded.delete(holder.id);
    holders.set(at, holder);
  }

  /** @returns true where a back end that does not hold its address runs, and the holder does not */
  function isProven(id: string, holder: Holder, heardAtMs: number): boolean {
    const claim = superseded.get(id);
    if (claim === undefined || holder.lastHeartbeatAtMs === undefined) {
      return true;
    }
    if (
      claim.firstHeartbeatAtMs === undefined ||
      claim.firstHeartbeatAtMs <= holder.lastHeartbeatAtMs
    ) {
      claim.firstHeartbeatAtMs = heardAtMs;
      return false;
    }
    const goesOn = heardAtMs - claim.firstHeartbeatAtMs >= PROOF_INTERVALS * heartbeatIntervalMs;
    const holderSilentMs = heardAtMs - holder.lastHeartbeatAtMs;
    return goesOn && holderSilentMs >= HOLDER_SILENT_INTERVALS * heartbeatIntervalMs;
  }

  function remove(id: string, address: Address): void {
    const at = formatAddress(address);
    if (holders.get(at)?.id === id) {
      holders.delete(at);
    }
    superseded.delete(id);
  }
}
