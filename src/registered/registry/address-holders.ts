/**
 * @file To which start of a back end does an address belong, where several claim it?
 *
 * Inputs: the heartbeats of each start with their addresses and times, and the order of the replicated list; times in
 * milliseconds. Returns the holder of an address, and whether a start is superseded; a superseded one counts as dead.
 *
 * Reason: a back end that crashes says nothing, and the next one may start at its address before its silence is
 * noticed. A heartbeat that a cut held up may even come after the first one of the next start. New flows for the one
 * that is gone would get no answer. So the newcomer holds the address at once, and one that is superseded holds it
 * again only by heartbeats that go on while the holder's do not: what the network held up comes once, a process goes
 * on.
 *
 * Test: test/registered/ingress/reborn-backend. Its first form showed that the holder must have ceased, too
 * (docs/FINDINGS.md). Log lines: `backend registered` with `supersedes`, and `backend judged` at the balancer.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';

/** Which back end holds which address. */
export interface AddressHolders {
  /** Records a heartbeat of a back end at an address. */
  recordHeartbeat(id: string, address: Address, receivedAtMs: number): void;
  /**
   * Records a back end of the replicated list, which is in the order of first heartbeats. It gives way to any whose
   * heartbeat came here.
   */
  recordListed(id: string, address: Address): void;
  /** @returns true where another one holds its address */
  isSuperseded(id: string): boolean;
  /** @returns the back end that holds an address */
  holderOf(address: Address): string | undefined;
  /** A back end is forgotten, or has another address from now on. */
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
 * Two heartbeats of a running process are one interval apart, give or take some; those that a cut held up come
 * together when it heals. Not measured beyond the test; too small would show as a dead start that holds its address
 * again after a cut.
 */
const PROOF_INTERVALS = 0.75;
/**
 * A holder whose last heartbeat is younger than this many intervals runs. Not measured beyond the test; too small would
 * show as a running holder that loses its address when one heartbeat is late.
 */
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

  function recordHeartbeat(id: string, address: Address, receivedAtMs: number): void {
    const at = formatAddress(address);
    const holder = holders.get(at);
    if (holder?.id === id) {
      holder.lastHeartbeatAtMs = Math.max(receivedAtMs, holder.lastHeartbeatAtMs ?? receivedAtMs);
    } else if (holder === undefined || isProven(id, holder, receivedAtMs)) {
      hold(at, { id, lastHeartbeatAtMs: receivedAtMs });
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

  /** @returns true where a back end that does not hold its address runs, and the holder does not; records the claim */
  function isProven(id: string, holder: Holder, receivedAtMs: number): boolean {
    const claim = superseded.get(id);
    if (claim === undefined || holder.lastHeartbeatAtMs === undefined) {
      return true;
    }
    if (
      claim.firstHeartbeatAtMs === undefined ||
      claim.firstHeartbeatAtMs <= holder.lastHeartbeatAtMs
    ) {
      claim.firstHeartbeatAtMs = receivedAtMs;
      return false;
    }
    const goesOn = receivedAtMs - claim.firstHeartbeatAtMs >= PROOF_INTERVALS * heartbeatIntervalMs;
    const holderSilentMs = receivedAtMs - holder.lastHeartbeatAtMs;
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
