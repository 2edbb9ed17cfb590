/**
 * @file Chooses the zone of each new flow by smooth weighted round robin over the zone shares (`zone-shares.ts`).
 */
import { DEFAULT_CONNECTION_LIMIT } from './load-estimate.js';
import type { PlacementCandidate, PlacementRequest } from './placement-policy.js';
import { slowStartWeight } from './slow-start.js';
import { shareOverZones, type ZoneCapacity } from './zone-shares.js';

/** Shares are cached, as computing them takes a pass over all candidates. */
const SHARES_TTL_MS = 250;

interface WeightedZone {
  readonly zone: string;
  readonly candidates: PlacementCandidate[];
  share: number;
  /** Flows that the zone is behind its share; negative if it is ahead. */
  credit: number;
}

/** Weighted round robin over the zones of one list of candidates. */
export class ZoneRotation {
  private readonly entries: WeightedZone[] = [];
  private sharesExpireAtMs = -Infinity;

  constructor(candidates: readonly PlacementCandidate[]) {
    const byZone = new Map<string, WeightedZone>();
    for (const candidate of candidates) {
      const { zone } = candidate.backend;
      const entry = byZone.get(zone) ?? { zone, candidates: [], share: 0, credit: 0 };
      entry.candidates.push(candidate);
      byZone.set(zone, entry);
    }
    this.entries.push(...byZone.values());
  }

  /** @returns the candidates of the next zone; empty if there are no candidates */
  next(request: PlacementRequest, nowMs: number): readonly PlacementCandidate[] {
    if (nowMs >= this.sharesExpireAtMs) {
      this.updateShares(request, nowMs);
    }
    let chosen: WeightedZone | undefined;
    for (const entry of this.entries) {
      entry.credit += entry.share;
      if (chosen === undefined || entry.credit > chosen.credit) {
        chosen = entry;
      }
    }
    if (chosen === undefined) {
      return [];
    }
    chosen.credit -= 1;
    return chosen.candidates;
  }

  private updateShares(request: PlacementRequest, nowMs: number): void {
    const zones = this.entries.map((entry) => capacityOf(entry, nowMs));
    const localTrafficShare = request.localBalancerCount / request.balancerCount;
    const shares = shareOverZones(zones, request.localZone, localTrafficShare);
    this.entries.forEach((entry, index) => {
      entry.share = shares[index] ?? 0;
    });
    this.sharesExpireAtMs = nowMs + SHARES_TTL_MS;
  }
}

function capacityOf(entry: WeightedZone, nowMs: number): ZoneCapacity {
  let capacity = 0;
  let reportedLimits = 0;
  let connections = 0;
  for (const { judgement } of entry.candidates) {
    const { distrust, lastReport } = judgement.trust;
    const limit = Math.max(1, lastReport?.connectionLimit ?? DEFAULT_CONNECTION_LIMIT);
    capacity += limit * slowStartWeight(judgement.slowStartAtMs, nowMs);
    if (lastReport !== undefined && distrust === undefined) {
      reportedLimits += limit;
      connections += lastReport.connections;
    }
  }
  const utilization = reportedLimits === 0 ? 0 : connections / reportedLimits;
  return { zone: entry.zone, capacity, utilization };
}
