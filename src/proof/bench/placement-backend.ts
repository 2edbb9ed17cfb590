/**
 * @file Simulated back end of the placement benchmark, with a connection limit, request slots, a queue
 * and delayed load reports.
 */
import type { RandomSource } from '../../shared/common/step.js';
import type { Backend } from '../../managed/control/routing-config.js';
import type { LoadReport } from '../../managed/health/backend-report.js';
import type { VirtualScheduler } from './virtual-scheduler.js';

/** Queue length at which a back end refuses opens. */
const MAX_QUEUED_REQUESTS = 200;

/** Capacity and timing of a back end. */
export interface PlacementBackendShape {
  readonly slots: number;
  readonly connectionLimit: number;
  /** Mean of the exponentially distributed time that a request occupies a slot. */
  readonly serviceMs: number;
  /** Age of the load in a report. */
  readonly reportLagMs: number;
}

/** Fault in load reports: `idle` reports no load, `frozen` repeats the report at fault injection. */
export type ReportFault = 'idle' | 'frozen';

interface TimedReport {
  readonly atMs: number;
  readonly report: LoadReport;
}

/** Simulated back end. */
export class PlacementBackend {
  connections = 0;
  private usedSlotMs = 0;
  private busySlots = 0;
  private busySinceMs = 0;
  private queuedRequests = 0;
  private fault: ReportFault | undefined;
  private frozenReport: LoadReport | undefined;
  private readonly loadHistory: TimedReport[] = [];

  constructor(
    public backend: Backend,
    readonly incarnation: number,
    private readonly shape: PlacementBackendShape,
    private readonly scheduler: VirtualScheduler,
    private readonly random: RandomSource,
  ) {}

  /** @returns true if the open is accepted; it then occupies a connection until `close` */
  open(): boolean {
    const full = this.connections >= this.shape.connectionLimit;
    if (full || this.queuedRequests >= MAX_QUEUED_REQUESTS) {
      return false;
    }
    this.connections += 1;
    return true;
  }

  close(): void {
    this.connections -= 1;
  }

  /** Processes a request in a free slot, or queues it. */
  request(): void {
    if (this.busySlots >= this.shape.slots) {
      this.queuedRequests += 1;
      return;
    }
    this.addBusySlotTime();
    this.busySlots += 1;
    const serviceMs = -Math.log(1 - this.random.nextFloat()) * this.shape.serviceMs;
    this.scheduler.after(serviceMs, () => this.finishRequest());
  }

  /** Records the current load for later reports. */
  recordLoad(): void {
    this.loadHistory.push({ atMs: this.scheduler.nowMs, report: this.currentLoad() });
    const oldestMs = this.scheduler.nowMs - this.shape.reportLagMs;
    while ((this.loadHistory[1]?.atMs ?? Infinity) <= oldestMs) {
      this.loadHistory.shift();
    }
  }

  /** @returns the load one report lag ago, or the oldest recorded load */
  reportedLoad(): LoadReport {
    const report = this.loadHistory[0]?.report ?? this.currentLoad();
    if (this.fault === 'idle') {
      return { ...report, connections: 0, busySlots: 0, queuedRequests: 0 };
    }
    return this.frozenReport ?? report;
  }

  /** Makes all further reports faulty. */
  injectReportFault(fault: ReportFault): void {
    this.frozenReport = fault === 'frozen' ? this.reportedLoad() : undefined;
    this.fault = fault;
  }

  /** @returns connection utilization plus waiting requests per slot, without report lag or faults */
  currentUtilization(): number {
    const { connectionLimit, slots } = this.shape;
    const waiting = Math.max(0, this.busySlots + this.queuedRequests - slots);
    return this.connections / connectionLimit + waiting / slots;
  }

  /** @returns accumulated busy time of all slots, in milliseconds */
  busySlotMs(): number {
    this.addBusySlotTime();
    return this.usedSlotMs;
  }

  private finishRequest(): void {
    this.addBusySlotTime();
    this.busySlots -= 1;
    if (this.queuedRequests > 0) {
      this.queuedRequests -= 1;
      this.request();
    }
  }

  private addBusySlotTime(): void {
    this.usedSlotMs += this.busySlots * (this.scheduler.nowMs - this.busySinceMs);
    this.busySinceMs = this.scheduler.nowMs;
  }

  private currentLoad(): LoadReport {
    return {
      connections: this.connections,
      connectionLimit: this.shape.connectionLimit,
      busySlots: this.busySlots,
      slots: this.shape.slots,
      queuedRequests: this.queuedRequests,
    };
  }
}
