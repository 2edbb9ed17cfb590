/**
 * @file Which zone's candidates receive the next flow? Each zone gets its share (`zone-shares.ts`) as evenly in time as can
 * be, by smooth weighted round robin. Owns the credits of the zones for one list of candidates; a new list starts anew.
 */
import { ASSUMED_CONNECTION_LIMIT } from './load-estimate.js';
import type { PlacementCandidate, PlacementRequest } from './placement-policy.js';
import { slowStartWeight } from './slow-start.js';
import { shareOverZones, type ZoneCapacity } from './zone-shares.js';

/**
 * How long shares are kept before they are computed again, in milliseconds. Not measured; it saves a pass over all
 * candidates for each open.
 */
const SHARES_LIFE_MS = 250;

interface ZoneTurn {
  readonly zone: string;
  readonly candidates: PlacementCandidate[];
  share: number;
  /** How many flows the zone is behind its share. */
  credit: number;
}

/** Takes the zones of one list of candidates in turn. */
export class ZoneRotation {
  private readonly turns: ZoneTurn[] = [];
  private sharesEndAtMs = -Infinity;

  constructor(candidates: readonly PlacementCandidate[]) {
    const byZone = new Map<string, ZoneTurn>();
    for (const candidate of candidates) {
      const { zone } = candidate.backend;
      const turn = byZone.get(zone) ?? { zone, candidates: [], share: 0, credit: 0 };
      turn.candidates.push(candidate);
      byZone.set(zone, turn);
    }
    this.turns.push(...byZone.values());
  }

  /** @returns the candidates of the zone whose turn it is */
  next(request: PlacementRequest, nowMs: number): readonly PlacementCandidate[] {
    if (nowMs >= this.sharesEndAtMs) {
      this.updateShares(request, nowMs);
    }
    let chosen: ZoneTurn | undefined;
    for (const turn of this.turns) {
      turn.credit += turn.share;
      if (chosen === undefined || turn.credit > chosen.credit) {
        chosen = turn;
      }
    }
    if (chosen === undefined) {
      return [];
    }
    chosen.credit -= 1;
    return chosen.candidates;
  }

  private updateShares(request: PlacementRequest, nowMs: number): void {
    const zones = this.turns.map((turn) => capacityOf(turn, nowMs));
    const localTraffic = request.localBalancerCount / request.balancerCount;
    const shares = shareOverZones(zones, request.localZone, localTraffic);
    this.turns.forEach((turn, index) => {
      turn.share = shares[index] ?? 0;
    });
    this.sharesEndAtMs = nowMs + SHARES_LIFE_MS;
  }
}

function capacityOf(turn: ZoneTurn, nowMs: number): ZoneCapacity {
  let capacity = 0;
  let reportedLimits = 0;
  let connections = 0;
  for (const { judgement } of turn.candidates) {
    const { distrust, lastReport } = judgement.trust;
    const limit = Math.max(1, lastReport?.connectionLimit ?? ASSUMED_CONNECTION_LIMIT);
    capacity += limit * slowStartWeight(judgement.slowStartAtMs, nowMs);
    if (lastReport !== undefined && distrust === undefined) {
      reportedLimits += limit;
      connections += lastReport.connections;
    }
  }
  const use = reportedLimits === 0 ? 0 : connections / reportedLimits;
  return { zone: turn.zone, capacity, use };
}
