/**
 * @file Scheduler of the placement benchmark in virtual time. Unlike `VirtualClock`, it rounds to whole
 * milliseconds and does not wait for promises. Actions due at the same time run in insertion order.
 */

/** Runs scheduled actions at their virtual times. */
export class VirtualScheduler {
  /** Current virtual time; starts at 0. */
  nowMs = 0;
  private readonly actionsByTimeMs = new Map<number, (() => void)[]>();

  /** Schedules the action after the delay, rounded to whole milliseconds and at least 1 ms. */
  after(delayMs: number, action: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const actions = this.actionsByTimeMs.get(atMs);
    if (actions === undefined) {
      this.actionsByTimeMs.set(atMs, [action]);
    } else {
      actions.push(action);
    }
  }

  /** Runs the action immediately and then at each interval. */
  every(intervalMs: number, action: () => void): void {
    action();
    this.after(intervalMs, () => this.every(intervalMs, action));
  }

  /** Advances virtual time to `endMs`, running all actions due up to then. */
  runUntil(endMs: number): void {
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      const actions = this.actionsByTimeMs.get(this.nowMs) ?? [];
      this.actionsByTimeMs.delete(this.nowMs);
      actions.forEach((action) => action());
    }
  }
}
