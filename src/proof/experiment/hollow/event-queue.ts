/**
 * @file Virtual time for hollow worlds: events run one after the other in the order of their times.
 */
import { TimedQueue } from '../../virtual/timed-queue.js';

/** Runs events in the order of virtual time. */
export class EventQueue {
  private readonly events = new TimedQueue();
  private currentMs = 0;

  /** The present virtual time in milliseconds, from 0. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Adds an event `delayMs` from now. */
  after(delayMs: number, run: () => void): void {
    this.events.add(this.currentMs + delayMs, run);
  }

  /** Runs `run` after `firstMs` and then at every interval, until it returns false. */
  every(firstMs: number, intervalMs: number, run: () => boolean): void {
    this.after(firstMs, () => {
      if (run()) {
        this.every(intervalMs, intervalMs, run);
      }
    });
  }

  /** Runs all events up to a time. */
  runUntil(endMs: number): void {
    for (let next = this.events.takeDue(endMs); next; next = this.events.takeDue(endMs)) {
      this.currentMs = next.atMs;
      next.run();
    }
    this.currentMs = endMs;
  }

  /**
   * Runs events until a condition holds, which is looked at every `stepMs`.
   * @returns false where it did not hold within the time
   */
  runUntilTrue(condition: () => boolean, withinMs: number, stepMs = 10): boolean {
    const endMs = this.currentMs + withinMs;
    while (!condition()) {
      if (this.currentMs >= endMs) {
        return false;
      }
      this.runUntil(this.currentMs + stepMs);
    }
    return true;
  }
}
