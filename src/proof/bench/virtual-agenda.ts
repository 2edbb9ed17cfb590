/**
 * @file The clock of the placement bench: whole milliseconds, without promises. What is due at the same time runs in the order of entry.
 * `virtual-clock` has fractions and waits for promises; the figures of the bench rest on the rounding here.
 */

/** Runs actions at their virtual times. */
export class VirtualAgenda {
  /** Present time, in milliseconds from 0. */
  nowMs = 0;
  private readonly due = new Map<number, (() => void)[]>();

  /** Runs the action after this many milliseconds, at least one later than now. */
  after(delayMs: number, action: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const actions = this.due.get(atMs);
    if (actions === undefined) {
      this.due.set(atMs, [action]);
    } else {
      actions.push(action);
    }
  }

  /** Runs the action now and then again at each interval. */
  every(intervalMs: number, action: () => void): void {
    action();
    this.after(intervalMs, () => this.every(intervalMs, action));
  }

  /** Lets virtual time pass. */
  runUntil(endMs: number): void {
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      const actions = this.due.get(this.nowMs) ?? [];
      this.due.delete(this.nowMs);
      actions.forEach((action) => action());
    }
  }
}
