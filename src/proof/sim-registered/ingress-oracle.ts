/**
 * @file The oracle of the registered pair, in the simulator and beside the real processes of the soak. It gets what clients, back ends and
 * the operator see, shares no state with the product, and owns the list of violations.
 */
import { createZoneWitness } from './zone-witness.js';

/** What is checked. */
export type IngressCheck =
  /** An open flow is reset by another than its back end, or its packets go elsewhere. */
  | 'flow'
  /** A service takes a flow of a route that never named it. */
  | 'route'
  /** A back end gets what its sender did not write so. */
  | 'unasked'
  /** A client gets what its sender did not write so. */
  | 'mixed'
  /** A leaving back end is given a new flow after the bound. */
  | 'drain'
  /** A read, or the handling of a new flow, is older than what was acknowledged. */
  | 'config'
  /** What was acknowledged is gone. */
  | 'lost'
  /** Service does not come back. */
  | 'recover'
  /** Two control machines lead in one term. */
  | 'leader'
  /** A back end of an evacuated zone is given a new flow after the bound. */
  | 'evacuation'
  /** An acknowledged order for a zone is undone by nobody's word, or a proper one is refused. */
  | 'zone'
  /** A packet of a flow of a start of a back end is sent to a later start of it at another address. */
  | 'start'
  /** A cold back end is given more new flows in a second than its slow start allows. */
  | 'cold';

/** A violation, with the time at which it was seen. */
export interface IngressViolation {
  readonly check: IngressCheck;
  readonly atMs: number;
  readonly detail: string;
}

interface AcknowledgedConfig {
  readonly version: number;
  readonly atMs: number;
}

/** What must hold within which time, in milliseconds. */
export interface OracleBounds {
  readonly drainBoundMs: number;
  readonly applyBoundMs: number;
  readonly contactMs: number;
  readonly evacuationBoundMs: number;
  /** New flows that may reach a cold back end in any second; undefined for any number. */
  readonly coldFlowsPerS: number | undefined;
}

const SECOND_MS = 1_000;

/** Judges a run. */
export class IngressOracle {
  readonly zones = createZoneWitness();
  /** When each back end accepted new flows while it was cold, of the last second. */
  private readonly coldFlows = new Map<string, number[]>();
  readonly violations: IngressViolation[] = [];
  /** Services that any configuration ever sent gave a route. */
  private readonly allowed = new Map<string, Set<string>>();
  private readonly departures = new Map<string, number>();
  private readonly leaders = new Map<number, string>();
  private acknowledged: AcknowledgedConfig | undefined;
  /** When the last disturbance ended, or Infinity while one lasts. */
  private disturbedUntilMs = Number.NEGATIVE_INFINITY;
  servedRequests = 0;

  constructor(private readonly bounds: OracleBounds) {}

  /** Version of the newest configuration that was acknowledged; 0 for none. */
  get acknowledgedVersion(): number {
    return this.acknowledged?.version ?? 0;
  }

  recordDisturbance(untilMs: number): void {
    this.disturbedUntilMs = Math.max(this.disturbedUntilMs, untilMs);
  }

  /** A control machine begins to lead. */
  recordLeader(term: number, name: string, nowMs: number): void {
    const known = this.leaders.get(term) ?? name;
    this.leaders.set(term, known);
    if (known !== name) {
      this.report('leader', nowMs, `${name} and ${known} lead in term ${term}`);
    }
  }

  /** The operator sends a configuration. */
  recordAllowedRoute(route: string, service: string): void {
    const services = this.allowed.get(route) ?? new Set<string>();
    services.add(service);
    this.allowed.set(route, services);
  }

  recordAcknowledgedConfig(version: number, atMs: number): void {
    if (version > this.acknowledgedVersion) {
      this.acknowledged = { version, atMs };
    }
  }

  recordAcknowledgedDeparture(backendId: string, atMs: number): void {
    if (!this.departures.has(backendId)) {
      this.departures.set(backendId, atMs);
    }
  }

  /** A packet of a flow of a start elsewhere reached a later start of the back end. */
  reportStrayPacket(detail: string, nowMs: number): void {
    this.report('start', nowMs, detail);
  }

  /** A read of the configuration, begun at `sentAtMs`, was answered. */
  checkRead(version: number, sentAtMs: number, nowMs: number): void {
    const { acknowledged, bounds } = this;
    const isDue = acknowledged !== undefined && sentAtMs > acknowledged.atMs + bounds.applyBoundMs;
    if (isDue && version < acknowledged.version) {
      this.report('config', nowMs, `read version ${version} after ${acknowledged.version}`);
    }
  }

  /** The configuration that is read back after everything. */
  checkFinalRead(version: number, nowMs: number): void {
    if (version < this.acknowledgedVersion) {
      this.report(
        'lost',
        nowMs,
        `version ${version} is held, ${this.acknowledgedVersion} was told`,
      );
    }
  }

  /** A back end takes an open; `versionAllowed` is the newest version under which it may. */
  checkAcceptedOpen(
    taken: {
      readonly route: string;
      readonly service: string;
      readonly backendId: string;
      /** When the client sent it. */
      readonly sentAtMs: number;
      /** Newest version that gives the route to the service. */
      readonly newestVersion: number;
      readonly zone: string;
      readonly isCold: boolean;
    },
    nowMs: number,
  ): void {
    const { route, service, backendId } = taken;
    if (this.allowed.get(route)?.has(service) !== true) {
      this.report('route', nowMs, `${service} took a flow of ${route}`);
    }
    if (taken.isCold) {
      this.checkColdFlow(backendId, nowMs);
    }
    if (!this.isCalm(nowMs)) {
      return;
    }
    const evacuatedAtMs = this.zones.evacuatedAtMs(taken.zone);
    if (evacuatedAtMs !== undefined && nowMs > evacuatedAtMs + this.bounds.evacuationBoundMs) {
      this.report('evacuation', nowMs, `${backendId} took a flow in evacuated ${taken.zone}`);
    }
    const departedAtMs = this.departures.get(backendId);
    if (departedAtMs !== undefined && nowMs > departedAtMs + this.bounds.drainBoundMs) {
      this.report('drain', nowMs, `${backendId} took a flow after it left`);
    }
    const { acknowledged } = this;
    const isDue =
      acknowledged !== undefined &&
      taken.sentAtMs > acknowledged.atMs + this.bounds.applyBoundMs &&
      taken.newestVersion < acknowledged.version;
    if (isDue) {
      this.report('config', nowMs, `${service} took a flow of ${route} by an older version`);
    }
  }

  /** A zone is read back after everything. */
  checkFinalZone(zone: string, isEvacuated: boolean, nowMs: number): void {
    const expected = this.zones.settledAs(zone);
    if (expected !== undefined && expected !== isEvacuated) {
      const stands = isEvacuated ? 'evacuated' : 'readmitted';
      this.report('zone', nowMs, `${zone} is ${stands} against the last order`);
    }
  }

  /** A proper order for a zone was refused. */
  recordRefusedOrder(zone: string, nowMs: number): void {
    this.report('zone', nowMs, `an order for ${zone} was refused`);
  }

  /** This holds in any second, whatever is disturbed. */
  private checkColdFlow(backendId: string, nowMs: number): void {
    const { coldFlowsPerS } = this.bounds;
    const before = this.coldFlows.get(backendId) ?? [];
    const times = [...before.filter((atMs) => nowMs - atMs < SECOND_MS), nowMs];
    this.coldFlows.set(backendId, times);
    if (coldFlowsPerS !== undefined && times.length > coldFlowsPerS) {
      this.report('cold', nowMs, `${backendId} took ${times.length} flows in a second`);
    }
  }

  /** A back end gets a packet that was changed on its way. */
  reportUnsolicited(nowMs: number, detail: string): void {
    this.report('unasked', nowMs, detail);
  }

  /** A client gets a packet that was changed on its way. */
  reportMixed(nowMs: number, detail: string): void {
    this.report('mixed', nowMs, detail);
  }

  reportBrokenFlow(nowMs: number, detail: string): void {
    this.report('flow', nowMs, detail);
  }

  checkRecovery(servedShare: number, leastShare: number, nowMs: number): void {
    if (servedShare < leastShare) {
      this.report('recover', nowMs, `only ${servedShare.toFixed(2)} of the requests are served`);
    }
  }

  private isCalm(nowMs: number): boolean {
    return nowMs > this.disturbedUntilMs + this.bounds.contactMs;
  }

  private report(check: IngressCheck, atMs: number, detail: string): void {
    this.violations.push({ check, atMs, detail });
  }
}
