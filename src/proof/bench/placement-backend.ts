/**
 * @file A back end of the placement bench: connections, slots, a queue, and load reports that lag.
 */
import type { RandomSource } from '../../shared/common/step.js';
import type { Backend } from '../../managed/control/routing-config.js';
import type { LoadReport } from '../../managed/health/backend-report.js';
import type { VirtualAgenda } from './virtual-agenda.js';

/** Queued requests beyond which a back end refuses opens. */
const MAX_QUEUED_REQUESTS = 200;

/** The shape of a back end. */
export interface PlacementBackendShape {
  readonly slots: number;
  readonly connectionLimit: number;
  /** Mean time that a request holds a slot; times are exponential. */
  readonly serviceMs: number;
  /** Age of the state in a load report. */
  readonly reportLagMs: number;
}

/** What is wrong with the load reports of a back end: always idle, or the first one for ever. */
export type ReportFault = 'idle' | 'frozen';

interface TimedReport {
  readonly atMs: number;
  readonly report: LoadReport;
}

/** One back end. */
export class PlacementBackend {
  connections = 0;
  private usedSlotMs = 0;
  private busySlots = 0;
  private busySinceMs = 0;
  private queuedRequests = 0;
  private fault: ReportFault | undefined;
  private frozenReport: LoadReport | undefined;
  private readonly history: TimedReport[] = [];

  constructor(
    public backend: Backend,
    readonly incarnation: number,
    private readonly shape: PlacementBackendShape,
    private readonly agenda: VirtualAgenda,
    private readonly random: RandomSource,
  ) {}

  /** @returns true where the open is accepted, and then holds a connection */
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

  /** A request takes a slot, or waits for one. */
  request(): void {
    if (this.busySlots >= this.shape.slots) {
      this.queuedRequests += 1;
      return;
    }
    this.countBusyTime();
    this.busySlots += 1;
    const serviceMs = -Math.log(1 - this.random.nextFloat()) * this.shape.serviceMs;
    this.agenda.after(serviceMs, () => this.finishRequest());
  }

  /** Keeps the present load for reports to come. */
  recordLoad(): void {
    this.history.push({ atMs: this.agenda.nowMs, report: this.presentLoad() });
    const oldestMs = this.agenda.nowMs - this.shape.reportLagMs;
    while ((this.history[1]?.atMs ?? Infinity) <= oldestMs) {
      this.history.shift();
    }
  }

  /** @returns the load as it was a report lag ago, or as early as is known */
  reportedLoad(): LoadReport {
    const report = this.history[0]?.report ?? this.presentLoad();
    if (this.fault === 'idle') {
      return { ...report, connections: 0, busySlots: 0, queuedRequests: 0 };
    }
    return this.frozenReport ?? report;
  }

  /** From now on the reports are wrong. */
  misreport(fault: ReportFault): void {
    this.frozenReport = fault === 'frozen' ? this.reportedLoad() : undefined;
    this.fault = fault;
  }

  /** @returns how loaded it is in truth; the lowest has the most room */
  trueUse(): number {
    const { connectionLimit, slots } = this.shape;
    const waiting = Math.max(0, this.busySlots + this.queuedRequests - slots);
    return this.connections / connectionLimit + waiting / slots;
  }

  /** @returns slot time used since the start, in milliseconds */
  busySlotMs(): number {
    this.countBusyTime();
    return this.usedSlotMs;
  }

  private finishRequest(): void {
    this.countBusyTime();
    this.busySlots -= 1;
    if (this.queuedRequests > 0) {
      this.queuedRequests -= 1;
      this.request();
    }
  }

  private countBusyTime(): void {
    this.usedSlotMs += this.busySlots * (this.agenda.nowMs - this.busySinceMs);
    this.busySinceMs = this.agenda.nowMs;
  }

  private presentLoad(): LoadReport {
    return {
      connections: this.connections,
      connectionLimit: this.shape.connectionLimit,
      busySlots: this.busySlots,
      slots: this.shape.slots,
      queuedRequests: this.queuedRequests,
    };
  }
}
