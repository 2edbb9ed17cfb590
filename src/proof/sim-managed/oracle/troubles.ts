/**
 * @file Which processes were in trouble, and when: down, paused, cut off or with a failing disk. Owns the excuses of the oracle: some promises
 * do not hold for a process in trouble, or for those that depend on it.
 */
import type { TraceEvent } from '../trace.js';

/** A control machine counts as in trouble for this long after it has started again. */
const RECOVERY_MS = 3_000;

/** Follows the troubles of all processes. */
export class Troubles {
  /** What is wrong at present, by process. */
  private readonly present = new Map<string, Set<string>>();
  private readonly endedAtMs = new Map<string, number>();
  private readonly controls = new Set<string>();
  private majorityEndedAtMs = 0;
  private majorityInTrouble = false;

  /** Handles an event; to be called before the checks get it. */
  handle(event: TraceEvent): void {
    this.updateMajority(event.atMs);
    if (event.type === 'process') {
      if (event.kind === 'control') {
        this.controls.add(event.process);
      }
      this.updateStatus(event);
    } else if (event.type === 'fault') {
      for (const target of event.targets) {
        this.set(target, `fault ${event.faultId}`, event.phase === 'begins', event.atMs);
      }
    }
    this.updateMajority(event.atMs);
  }

  /** True where the process is in trouble now or was at or after a time. */
  hadTroubleSince(process: string, sinceMs: number): boolean {
    return this.isInTrouble(process) || (this.endedAtMs.get(process) ?? -Infinity) >= sinceMs;
  }

  /** True where any process whose name fits had trouble. */
  anyHadTrouble(fits: (process: string) => boolean): boolean {
    const names = [...this.present.keys(), ...this.endedAtMs.keys()];
    return names.some((name) => fits(name) && this.hadTroubleSince(name, 0));
  }

  /**
   * @returns since when neither the process nor a majority of the control machines has been in trouble;
   *   undefined where one is now
   */
  quietSince(process: string): number | undefined {
    if (this.isInTrouble(process) || this.majorityInTrouble) {
      return undefined;
    }
    return Math.max(this.endedAtMs.get(process) ?? 0, this.majorityEndedAtMs);
  }

  private updateStatus(event: Extract<TraceEvent, { type: 'process' }>): void {
    const { process, status, atMs } = event;
    const isDown = status === 'crashed' || status === 'stopped';
    if (status === 'paused' || status === 'resumed') {
      this.set(process, 'paused', status === 'paused', atMs);
      return;
    }
    this.set(process, 'paused', false, atMs);
    this.set(process, 'down', isDown, atMs);
  }

  private set(process: string, trouble: string, begins: boolean, atMs: number): void {
    const troubles = this.present.get(process) ?? new Set();
    this.present.set(process, troubles);
    if (begins) {
      troubles.add(trouble);
    } else if (troubles.delete(trouble)) {
      this.endedAtMs.set(process, atMs);
    }
  }

  private isInTrouble(process: string): boolean {
    return (this.present.get(process)?.size ?? 0) > 0;
  }

  private updateMajority(nowMs: number): void {
    let impaired = 0;
    for (const control of this.controls) {
      const recoversUntilMs = (this.endedAtMs.get(control) ?? -RECOVERY_MS) + RECOVERY_MS;
      impaired += this.isInTrouble(control) || nowMs < recoversUntilMs ? 1 : 0;
    }
    this.majorityInTrouble = impaired * 2 >= this.controls.size && this.controls.size > 1;
    if (this.majorityInTrouble) {
      this.majorityEndedAtMs = nowMs;
    }
  }
}
