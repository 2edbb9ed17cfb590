/**
 * @file Tracks which processes are or were impaired: down, paused, or affected by a fault such as a cut or a full
 * disk. Some invariants don't hold for impaired processes and for those that depend on them.
 */
import type { TraceEvent } from '../trace.js';

/** A control machine counts as impaired for this time after its last impairment has ended. */
const RECOVERY_MS = 3_000;

/** Tracks the impairments of all processes. */
export class ImpairmentTracker {
  /** Current impairments by process. */
  private readonly activeImpairments = new Map<string, Set<string>>();
  private readonly endedAtMs = new Map<string, number>();
  private readonly controls = new Set<string>();
  private majorityImpairedUntilMs = 0;
  private isMajorityImpaired = false;

  /** Must be called before the checks handle the event. */
  handle(event: TraceEvent): void {
    this.updateMajority(event.atMs);
    if (event.type === 'process') {
      if (event.kind === 'control') {
        this.controls.add(event.process);
      }
      this.updateStatus(event);
    } else if (event.type === 'fault') {
      for (const target of event.targets) {
        this.setImpairment(target, `fault ${event.faultId}`, event.phase === 'begins', event.atMs);
      }
    }
    this.updateMajority(event.atMs);
  }

  /** True if the process is impaired now or was at or after `sinceMs`. */
  wasImpairedSince(process: string, sinceMs: number): boolean {
    return this.isImpaired(process) || (this.endedAtMs.get(process) ?? -Infinity) >= sinceMs;
  }

  /** True if any process with a matching name is or was impaired. */
  wasAnyImpaired(matches: (process: string) => boolean): boolean {
    const names = [...this.activeImpairments.keys(), ...this.endedAtMs.keys()];
    return names.some((name) => matches(name) && this.wasImpairedSince(name, 0));
  }

  /**
   * @returns the time in ms since which neither the process nor the majority of the control machines was
   *   impaired; undefined if one is impaired now
   */
  unimpairedSince(process: string): number | undefined {
    if (this.isImpaired(process) || this.isMajorityImpaired) {
      return undefined;
    }
    return Math.max(this.endedAtMs.get(process) ?? 0, this.majorityImpairedUntilMs);
  }

  private updateStatus(event: Extract<TraceEvent, { type: 'process' }>): void {
    const { process, status, atMs } = event;
    const isDown = status === 'crashed' || status === 'stopped';
    if (status === 'paused' || status === 'resumed') {
      this.setImpairment(process, 'paused', status === 'paused', atMs);
      return;
    }
    this.setImpairment(process, 'paused', false, atMs);
    this.setImpairment(process, 'down', isDown, atMs);
  }

  private setImpairment(process: string, impairment: string, begins: boolean, atMs: number): void {
    const impairments = this.activeImpairments.get(process) ?? new Set();
    this.activeImpairments.set(process, impairments);
    if (begins) {
      impairments.add(impairment);
    } else if (impairments.delete(impairment)) {
      this.endedAtMs.set(process, atMs);
    }
  }

  private isImpaired(process: string): boolean {
    return (this.activeImpairments.get(process)?.size ?? 0) > 0;
  }

  private updateMajority(nowMs: number): void {
    let impairedCount = 0;
    for (const control of this.controls) {
      const recoveredAtMs = (this.endedAtMs.get(control) ?? -RECOVERY_MS) + RECOVERY_MS;
      impairedCount += this.isImpaired(control) || nowMs < recoveredAtMs ? 1 : 0;
    }
    this.isMajorityImpaired = impairedCount * 2 >= this.controls.size && this.controls.size > 1;
    if (this.isMajorityImpaired) {
      this.majorityImpairedUntilMs = nowMs;
    }
  }
}
