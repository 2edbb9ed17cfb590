/**
 * @file Where hollow nodes stand: zones in regions, the delay between them, and which regions are cut
 * off from each other.
 */

/** A zone of a region. */
export interface Place {
  readonly region: number;
  readonly zone: string;
}

/** A node at its place. */
export interface NodeAt {
  readonly nodeId: string;
  readonly place: Place;
}

/** One way within a zone, in milliseconds. */
const DELAY_WITHIN_ZONE_MS = 0.25;
/** One way between zones of a region, in milliseconds; the brief gives 0.5 to 1.5. */
const DELAY_WITHIN_REGION_MS = 1;
/** One way between neighbouring regions, in milliseconds, and what each region further adds. */
const DELAY_BETWEEN_REGIONS_MS = 30;
const DELAY_PER_FURTHER_REGION_MS = 15;

/** The letter's regions and zones. */
export const LETTER_REGIONS = 7;
/** See `LETTER_REGIONS`. */
export const LETTER_ZONES = 20;

/**
 * @returns `zoneCount` places, spread over the regions in turn
 */
export function makePlaces(regionCount: number, zoneCount: number): Place[] {
  return Array.from({ length: zoneCount }, (_, number) => ({
    region: number % regionCount,
    zone: `zone-${number + 1}`,
  }));
}

/** The network between places. */
export class PlaceNetwork {
  private readonly cutRegions = new Set<number>();
  private readonly lostZones = new Set<string>();
  private readonly cutNodes = new Set<string>();

  constructor(private readonly regionCount: number) {}

  /** Delay one way in milliseconds. */
  delayMs(from: Place, to: Place): number {
    if (from.zone === to.zone) {
      return DELAY_WITHIN_ZONE_MS;
    }
    if (from.region === to.region) {
      return DELAY_WITHIN_REGION_MS;
    }
    const apart = Math.abs(from.region - to.region);
    const steps = Math.min(apart, this.regionCount - apart);
    return DELAY_BETWEEN_REGIONS_MS + (steps - 1) * DELAY_PER_FURTHER_REGION_MS;
  }

  /** True where a message gets through. */
  private connects(from: Place, to: Place): boolean {
    if (this.lostZones.has(from.zone) || this.lostZones.has(to.zone)) {
      return false;
    }
    return (
      from.region === to.region ||
      this.cutRegions.has(from.region) === this.cutRegions.has(to.region)
    );
  }

  /** As `connects`, with nodes that are cut off one by one. */
  connectsNodes(one: NodeAt, other: NodeAt): boolean {
    return (
      this.connects(one.place, other.place) &&
      !this.cutNodes.has(one.nodeId) &&
      !this.cutNodes.has(other.nodeId)
    );
  }

  /** Cuts one node off silently, or joins it again. */
  setNodeCut(nodeId: string, isCut: boolean): void {
    setMember(this.cutNodes, nodeId, isCut);
  }

  /** Cuts regions off from all others, or joins them again; within a region all goes on. */
  setRegionCut(region: number, isCut: boolean): void {
    setMember(this.cutRegions, region, isCut);
  }

  /** Loses a zone, or brings its network back. */
  setZoneLost(zone: string, isLost: boolean): void {
    setMember(this.lostZones, zone, isLost);
  }
}

function setMember<Value>(set: Set<Value>, value: Value, isIn: boolean): void {
  if (isIn) {
    set.add(value);
  } else {
    set.delete(value);
  }
}
