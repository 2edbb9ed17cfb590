/**
 * @file Virtual time: actions run in the order of their times, and of their scheduling where the times
 * are equal, so that one seed gives one order.
 */
import { setImmediate as drainMicrotasks } from 'node:timers/promises';
import { TimedQueue } from './timed-queue.js';

/** A clock with a queue of actions; times in milliseconds. */
export class VirtualClock {
  private readonly actions = new TimedQueue();
  private promisesPending = false;
  nowMs = 0;

  /** Runs an action after a delay. */
  after(delayMs: number, run: () => void): void {
    this.actions.add(this.nowMs + Math.max(0, delayMs), run);
  }

  /** To be called where the action under way settles a promise, whose continuations then run before the next action. */
  markPromiseSettled(): void {
    this.promisesPending = true;
  }

  /** Runs all actions that are due up to a time. */
  async runUntil(endMs: number): Promise<void> {
    await this.settlePromises();
    for (let next = this.actions.takeDue(endMs); next; next = this.actions.takeDue(endMs)) {
      this.nowMs = next.atMs;
      next.run();
      if (this.promisesPending) {
        await this.settlePromises();
      }
    }
    this.nowMs = Math.max(this.nowMs, endMs);
  }

  private async settlePromises(): Promise<void> {
    while (this.promisesPending) {
      this.promisesPending = false;
      await drainMicrotasks();
    }
  }
}
