/**
 * @file A deterministic virtual clock: scheduled actions run by time, then in scheduling order, so that a seed always
 * produces the same run.
 */
import { setImmediate as drainMicrotasks } from 'node:timers/promises';
import { TimedQueue } from './timed-queue.js';

/** A virtual clock and its scheduled actions; times in milliseconds. */
export class VirtualClock {
  private readonly actions = new TimedQueue();
  private hasSettledPromises = false;
  nowMs = 0;

  /** Schedules an action; a negative delay counts as 0. */
  after(delayMs: number, run: () => void): void {
    this.actions.add(this.nowMs + Math.max(0, delayMs), run);
  }

  /** Call when the running action settles a promise: its continuations then run before the next action. */
  markPromiseSettled(): void {
    this.hasSettledPromises = true;
  }

  /** Runs all actions due by `endMs` and advances the clock to it. */
  async runUntil(endMs: number): Promise<void> {
    await this.runContinuations();
    for (let next = this.actions.takeDue(endMs); next; next = this.actions.takeDue(endMs)) {
      this.nowMs = next.atMs;
      next.run();
      if (this.hasSettledPromises) {
        await this.runContinuations();
      }
    }
    this.nowMs = Math.max(this.nowMs, endMs);
  }

  private async runContinuations(): Promise<void> {
    while (this.hasSettledPromises) {
      this.hasSettledPromises = false;
      await drainMicrotasks();
    }
  }
}
