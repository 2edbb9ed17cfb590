/**
 * @file Decides which of several claimants holds a name, by their heartbeats. A superseded claimant gets the name back
 * only by heartbeats that continue while the holder is silent, which delayed heartbeats of a dead process do not.
 */

/** The holder of each name. */
export interface NameHolders {
  /** Records a heartbeat, which is a claim to a name. */
  recordHeartbeat(id: string, name: string, receivedAtMs: number): void;
  /** Records a claimant that is known from the replicated list only; call in list order, that of first heartbeats. */
  recordListed(id: string, name: string): void;
  /** @returns true if another claimant holds its name */
  isSuperseded(id: string): boolean;
  /** @returns the ID of the claimant that holds a name */
  holderOf(name: string): string | undefined;
  /** Removes a claimant from a name that it no longer claims. */
  remove(id: string, name: string): void;
}

/** Which newcomers take a name over immediately. */
export interface TakeoverRules {
  /** @returns true if a newcomer takes the name with its first heartbeat; decides also between two listed claimants */
  takesOverOnFirstHeartbeat(newcomer: string, holder: string): boolean;
  /** @returns true if a listed claimant takes the name from a holder whose heartbeat arrived here */
  listedTakesOver(listed: string, holder: string): boolean;
}

interface Holder {
  readonly id: string;
  /** Undefined if it is known from the replicated list only. */
  lastHeartbeatAtMs: number | undefined;
}

interface SupersededClaim {
  /** Time of its first heartbeat since the holder's last one. */
  firstHeartbeatAtMs: number | undefined;
}

/** One interval less jitter: delayed heartbeats of a dead process arrive together when a network partition heals. */
const MIN_CLAIM_INTERVALS = 0.75;
/** Allows for one late heartbeat of a running holder. */
const MIN_HOLDER_SILENCE_INTERVALS = 1.5;

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function createNameHolders(heartbeatIntervalMs: number, rules: TakeoverRules): NameHolders {
  const holders = new Map<string, Holder>();
  const superseded = new Map<string, SupersededClaim>();

  return {
    recordHeartbeat,
    recordListed,
    isSuperseded: (id) => superseded.has(id),
    holderOf: (name) => holders.get(name)?.id,
    remove,
  };

  function recordHeartbeat(id: string, name: string, receivedAtMs: number): void {
    const holder = holders.get(name);
    if (holder?.id === id) {
      holder.lastHeartbeatAtMs = Math.max(receivedAtMs, holder.lastHeartbeatAtMs ?? receivedAtMs);
    } else if (holder === undefined || canTakeOver(id, holder, receivedAtMs)) {
      setHolder(name, { id, lastHeartbeatAtMs: receivedAtMs });
    }
  }

  function recordListed(id: string, name: string): void {
    const holder = holders.get(name);
    if (holder === undefined || listedCanTakeOver(id, holder)) {
      setHolder(name, { id, lastHeartbeatAtMs: undefined });
    } else if (holder.id !== id) {
      superseded.set(id, { firstHeartbeatAtMs: undefined });
    }
  }

  function listedCanTakeOver(id: string, holder: Holder): boolean {
    return holder.lastHeartbeatAtMs === undefined
      ? rules.takesOverOnFirstHeartbeat(id, holder.id)
      : rules.listedTakesOver(id, holder.id);
  }

  function setHolder(name: string, holder: Holder): void {
    const previous = holders.get(name);
    if (previous !== undefined && previous.id !== holder.id) {
      superseded.set(previous.id, { firstHeartbeatAtMs: undefined });
    }
    superseded.delete(holder.id);
    holders.set(name, holder);
  }

  function canTakeOver(id: string, holder: Holder, receivedAtMs: number): boolean {
    const claim = superseded.get(id);
    if (rules.takesOverOnFirstHeartbeat(id, holder.id)) {
      const isNewcomer = claim === undefined || holder.lastHeartbeatAtMs === undefined;
      return isNewcomer || hasOutlastedHolder(claim, holder, receivedAtMs);
    }
    const pendingClaim = claim ?? { firstHeartbeatAtMs: undefined };
    superseded.set(id, pendingClaim);
    return hasOutlastedHolder(pendingClaim, holder, receivedAtMs);
  }

  /** @returns true if the claimant keeps sending and the holder has stopped; records the start of the claim */
  function hasOutlastedHolder(
    claim: SupersededClaim,
    holder: Holder,
    receivedAtMs: number,
  ): boolean {
    const holderHeartbeatAtMs = holder.lastHeartbeatAtMs ?? Number.NEGATIVE_INFINITY;
    if (claim.firstHeartbeatAtMs === undefined || claim.firstHeartbeatAtMs <= holderHeartbeatAtMs) {
      claim.firstHeartbeatAtMs = receivedAtMs;
      return false;
    }
    const keepsSending =
      receivedAtMs - claim.firstHeartbeatAtMs >= MIN_CLAIM_INTERVALS * heartbeatIntervalMs;
    return (
      keepsSending &&
      receivedAtMs - holderHeartbeatAtMs >= MIN_HOLDER_SILENCE_INTERVALS * heartbeatIntervalMs
    );
  }

  function remove(id: string, name: string): void {
    if (holders.get(name)?.id === id) {
      holders.delete(name);
    }
    superseded.delete(id);
  }
}
