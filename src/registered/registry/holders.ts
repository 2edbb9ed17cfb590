/**
 * @file Which of several claimants holds a name, where each claims it by heartbeats? The mechanism of address-holders.ts
 * and start-holders.ts, which say which newcomer takes a name at once.
 *
 * Inputs: heartbeats of each claimant with their times, and claimants of the replicated list; times in milliseconds.
 * Returns the holder of a name, and whether a claimant is superseded. One that is superseded holds the name again only
 * by heartbeats that go on while the holder's do not: what the network held up comes once, a process goes on.
 */

/** Which claimant holds which name. */
export interface Holders {
  /** Records a heartbeat by which a claimant claims a name. */
  recordHeartbeat(id: string, name: string, receivedAtMs: number): void;
  /** Records a claimant of the replicated list, which is in the order of first heartbeats. */
  recordListed(id: string, name: string): void;
  /** @returns true where another one holds its name */
  isSuperseded(id: string): boolean;
  /** @returns the claimant that holds a name */
  holderOf(name: string): string | undefined;
  /** A claimant is forgotten, or claims another name from now on. */
  remove(id: string, name: string): void;
}

/** Which newcomers hold a name at once. */
export interface HolderRules {
  /** @returns true where one of which a first heartbeat came takes the name from its holder */
  takesAtOnce(newcomer: string, holder: string): boolean;
  /** @returns true where one that is only listed takes the name from a holder whose heartbeat came here */
  listedTakesAtOnce(listed: string, holder: string): boolean;
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
 * together when it heals. Not measured beyond the test; too small would show as a dead start that holds its name
 * again after a cut.
 */
const PROOF_INTERVALS = 0.75;
/**
 * A holder whose last heartbeat is younger than this many intervals runs. Not measured beyond the test; too small would
 * show as a running holder that loses its name when one heartbeat is late.
 */
const HOLDER_SILENT_INTERVALS = 1.5;

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function createHolders(heartbeatIntervalMs: number, rules: HolderRules): Holders {
  const holders = new Map<string, Holder>();
  const superseded = new Map<string, Superseded>();

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
    } else if (holder === undefined || mayHold(id, holder, receivedAtMs)) {
      hold(name, { id, lastHeartbeatAtMs: receivedAtMs });
    }
  }

  function recordListed(id: string, name: string): void {
    const holder = holders.get(name);
    if (holder === undefined || listedMayHold(id, holder)) {
      hold(name, { id, lastHeartbeatAtMs: undefined });
    } else if (holder.id !== id) {
      superseded.set(id, { firstHeartbeatAtMs: undefined });
    }
  }

  function listedMayHold(id: string, holder: Holder): boolean {
    return holder.lastHeartbeatAtMs === undefined
      ? rules.takesAtOnce(id, holder.id)
      : rules.listedTakesAtOnce(id, holder.id);
  }

  function hold(name: string, holder: Holder): void {
    const before = holders.get(name);
    if (before !== undefined && before.id !== holder.id) {
      superseded.set(before.id, { firstHeartbeatAtMs: undefined });
    }
    superseded.delete(holder.id);
    holders.set(name, holder);
  }

  function mayHold(id: string, holder: Holder, receivedAtMs: number): boolean {
    const claim = superseded.get(id);
    if (rules.takesAtOnce(id, holder.id)) {
      const isNewcomer = claim === undefined || holder.lastHeartbeatAtMs === undefined;
      return isNewcomer || isProven(claim, holder, receivedAtMs);
    }
    const recorded = claim ?? { firstHeartbeatAtMs: undefined };
    superseded.set(id, recorded);
    return isProven(recorded, holder, receivedAtMs);
  }

  /** @returns true where one that does not hold its name runs, and the holder does not; records the claim */
  function isProven(claim: Superseded, holder: Holder, receivedAtMs: number): boolean {
    const heldUntilMs = holder.lastHeartbeatAtMs ?? Number.NEGATIVE_INFINITY;
    if (claim.firstHeartbeatAtMs === undefined || claim.firstHeartbeatAtMs <= heldUntilMs) {
      claim.firstHeartbeatAtMs = receivedAtMs;
      return false;
    }
    const goesOn = receivedAtMs - claim.firstHeartbeatAtMs >= PROOF_INTERVALS * heartbeatIntervalMs;
    return goesOn && receivedAtMs - heldUntilMs >= HOLDER_SILENT_INTERVALS * heartbeatIntervalMs;
  }

  function remove(id: string, name: string): void {
    if (holders.get(name)?.id === id) {
      holders.delete(name);
    }
    superseded.delete(id);
  }
}
