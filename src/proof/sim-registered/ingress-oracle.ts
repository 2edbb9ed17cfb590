/**
 * @file The test oracle of the registered mode, used by the simulator and the soak. It checks the observations of clients,
 * back ends and the operator against the guarantees and shares no state with the product.
 */
import { createZoneOrderTracker } from './zone-order-tracker.js';

/** The checked guarantee that a violation breaks. */
export type IngressCheck =
  /** An open flow is reset by a back end that does not own it. */
  | 'flow'
  /** A service accepts a flow of a route that never had it as a target. */
  | 'route'
  /** A back end receives a corrupted packet. */
  | 'unasked'
  /** A client receives a corrupted packet. */
  | 'mixed'
  /** A draining back end accepts a new flow after the drain bound. */
  | 'drain'
  /** A read or a new flow uses a configuration older than the acknowledged one after the apply bound. */
  | 'config'
  /** An acknowledged configuration is lost. */
  | 'lost'
  /** Too few requests are served after the faults have ended. */
  | 'recover'
  /** Two control machines are leaders of the same term. */
  | 'leader'
  /** A back end of an evacuated zone accepts a new flow after the evacuation bound. */
  | 'evacuation'
  /** An acknowledged zone order is reverted without another order, or a valid order is rejected. */
  | 'zone'
  /** A packet for a start of a back end reaches a later start at another address. */
  | 'start'
  /** A cold back end accepts more new flows per second than slow start allows. */
  | 'cold';

/** A violation and the time of its detection. */
export interface IngressViolation {
  readonly check: IngressCheck;
  readonly atMs: number;
  readonly detail: string;
}

interface AcknowledgedConfig {
  readonly version: number;
  readonly atMs: number;
}

/** Bounds of the guarantees; times in milliseconds. */
export interface OracleBounds {
  readonly drainBoundMs: number;
  readonly applyBoundMs: number;
  readonly contactMs: number;
  readonly evacuationBoundMs: number;
  /** Maximum new flows per second of a cold back end; undefined for no limit. */
  readonly coldFlowsPerS: number | undefined;
}

const SECOND_MS = 1_000;

/** Checks the guarantees during a run and collects the violations. */
export class IngressOracle {
  readonly zones = createZoneOrderTracker();
  /** Times in the last second at which each back end accepted new flows while cold. */
  private readonly coldFlowTimes = new Map<string, number[]>();
  readonly violations: IngressViolation[] = [];
  /** Target services of each route, in any configuration sent so far. */
  private readonly allowedServices = new Map<string, Set<string>>();
  private readonly departures = new Map<string, number>();
  private readonly leaders = new Map<number, string>();
  private acknowledged: AcknowledgedConfig | undefined;
  /** End of the last disturbance, in milliseconds. */
  private disturbedUntilMs = Number.NEGATIVE_INFINITY;
  servedRequests = 0;

  constructor(private readonly bounds: OracleBounds) {}

  /** Version of the newest acknowledged configuration; 0 for none. */
  get acknowledgedVersion(): number {
    return this.acknowledged?.version ?? 0;
  }

  recordDisturbance(untilMs: number): void {
    this.disturbedUntilMs = Math.max(this.disturbedUntilMs, untilMs);
  }

  /** A control machine has become leader. */
  recordLeader(term: number, name: string, nowMs: number): void {
    const recordedLeader = this.leaders.get(term) ?? name;
    this.leaders.set(term, recordedLeader);
    if (recordedLeader !== name) {
      this.report(
        'leader',
        nowMs,
        `${name} and ${recordedLeader} are both leaders of term ${term}`,
      );
    }
  }

  /** A configuration with `service` as a target of `route` has been sent. */
  recordAllowedRoute(route: string, service: string): void {
    const services = this.allowedServices.get(route) ?? new Set<string>();
    services.add(service);
    this.allowedServices.set(route, services);
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

  /** A packet for a start at another address has reached a later start of the back end. */
  reportStrayPacket(detail: string, nowMs: number): void {
    this.report('start', nowMs, detail);
  }

  /** A read of the configuration, sent at `sentAtMs`, was answered. */
  checkRead(version: number, sentAtMs: number, nowMs: number): void {
    const { acknowledged, bounds } = this;
    const isDue = acknowledged !== undefined && sentAtMs > acknowledged.atMs + bounds.applyBoundMs;
    if (isDue && version < acknowledged.version) {
      this.report(
        'config',
        nowMs,
        `read returned version ${version}, but version ${acknowledged.version} was acknowledged`,
      );
    }
  }

  /** Checks the configuration read back at the end of the run. */
  checkFinalRead(version: number, nowMs: number): void {
    if (version < this.acknowledgedVersion) {
      this.report(
        'lost',
        nowMs,
        `read back version ${version}, but version ${this.acknowledgedVersion} was acknowledged`,
      );
    }
  }

  /** A back end has accepted a new flow. */
  checkAcceptedOpen(
    flow: {
      readonly route: string;
      readonly service: string;
      readonly backendId: string;
      /** Time of the open, in milliseconds. */
      readonly sentAtMs: number;
      /** Newest configuration version in which the service is a target of the route. */
      readonly newestVersion: number;
      readonly zone: string;
      readonly isCold: boolean;
    },
    nowMs: number,
  ): void {
    const { route, service, backendId } = flow;
    if (this.allowedServices.get(route)?.has(service) !== true) {
      this.report(
        'route',
        nowMs,
        `${service} accepted a flow of ${route}, but was never its target`,
      );
    }
    if (flow.isCold) {
      this.checkColdFlow(backendId, nowMs);
    }
    if (!this.isUndisturbed(nowMs)) {
      return;
    }
    const evacuatedAtMs = this.zones.evacuatedAtMs(flow.zone);
    if (evacuatedAtMs !== undefined && nowMs > evacuatedAtMs + this.bounds.evacuationBoundMs) {
      this.report(
        'evacuation',
        nowMs,
        `${backendId} accepted a flow in evacuated zone ${flow.zone}`,
      );
    }
    const departedAtMs = this.departures.get(backendId);
    if (departedAtMs !== undefined && nowMs > departedAtMs + this.bounds.drainBoundMs) {
      this.report('drain', nowMs, `${backendId} accepted a flow after the drain bound`);
    }
    const { acknowledged } = this;
    const isDue =
      acknowledged !== undefined &&
      flow.sentAtMs > acknowledged.atMs + this.bounds.applyBoundMs &&
      flow.newestVersion < acknowledged.version;
    if (isDue) {
      this.report(
        'config',
        nowMs,
        `${service} accepted a flow of ${route} under an outdated configuration`,
      );
    }
  }

  /** Checks the state of a zone read back at the end of the run. */
  checkFinalZone(zone: string, isEvacuated: boolean, nowMs: number): void {
    const expected = this.zones.expectsEvacuated(zone);
    if (expected !== undefined && expected !== isEvacuated) {
      const state = isEvacuated ? 'evacuated' : 'readmitted';
      this.report('zone', nowMs, `${zone} is ${state}, contrary to the last order`);
    }
  }

  /** A valid order for a zone was rejected. */
  recordRefusedOrder(zone: string, nowMs: number): void {
    this.report('zone', nowMs, `a valid order for ${zone} was rejected`);
  }

  /** The limit for cold back ends also holds during disturbances. */
  private checkColdFlow(backendId: string, nowMs: number): void {
    const { coldFlowsPerS } = this.bounds;
    const earlier = this.coldFlowTimes.get(backendId) ?? [];
    const times = [...earlier.filter((atMs) => nowMs - atMs < SECOND_MS), nowMs];
    this.coldFlowTimes.set(backendId, times);
    if (coldFlowsPerS !== undefined && times.length > coldFlowsPerS) {
      this.report(
        'cold',
        nowMs,
        `${backendId} accepted ${times.length} flows within a second while cold`,
      );
    }
  }

  /** A back end has received a packet that was modified in transit. */
  reportCorruptAtBackend(nowMs: number, detail: string): void {
    this.report('unasked', nowMs, detail);
  }

  /** A client has received a packet that was modified in transit. */
  reportCorruptAtClient(nowMs: number, detail: string): void {
    this.report('mixed', nowMs, detail);
  }

  reportBrokenFlow(nowMs: number, detail: string): void {
    this.report('flow', nowMs, detail);
  }

  checkRecovery(servedShare: number, minServedShare: number, nowMs: number): void {
    if (servedShare < minServedShare) {
      this.report(
        'recover',
        nowMs,
        `served requests after the faults are only ${servedShare.toFixed(2)} of those before`,
      );
    }
  }

  private isUndisturbed(nowMs: number): boolean {
    return nowMs > this.disturbedUntilMs + this.bounds.contactMs;
  }

  private report(check: IngressCheck, atMs: number, detail: string): void {
    this.violations.push({ check, atMs, detail });
  }
}
