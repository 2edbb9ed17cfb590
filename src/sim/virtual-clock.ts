/**
 * @file Virtual time: actions run in the order of their times, and of their scheduling where the times
 * are equal, so that one seed gives one order.
 */
import { setImmediate as drainMicrotasks } from 'node:timers/promises';

interface ScheduledAction {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** A clock with a queue of actions; times in milliseconds. */
export class VirtualClock {
  private readonly heap: ScheduledAction[] = [];
  private nextOrder = 0;
  private promisesPending = false;
  nowMs = 0;

  /** Runs an action after a delay. */
  after(delayMs: number, run: () => void): void {
    this.push({ atMs: this.nowMs + Math.max(0, delayMs), order: this.nextOrder, run });
    this.nextOrder += 1;
  }

  /** Tells that the action under way has settled a promise: its continuations run before the next action. */
  notePromise(): void {
    this.promisesPending = true;
  }

  /** Runs all actions that are due up to a time. */
  async runUntil(endMs: number): Promise<void> {
    await this.settlePromises();
    for (let next = this.heap[0]; next !== undefined && next.atMs <= endMs; next = this.heap[0]) {
      this.pop();
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

  private push(action: ScheduledAction): void {
    const { heap } = this;
    let position = heap.length;
    heap.push(action);
    while (position > 0) {
      const parent = (position - 1) >>> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(action, above)) {
        break;
      }
      heap[position] = above;
      position = parent;
    }
    heap[position] = action;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let position = 0;
    for (;;) {
      const child = smallerChild(heap, position);
      const below = heap[child];
      if (below === undefined || !isBefore(below, last)) {
        break;
      }
      heap[position] = below;
      position = child;
    }
    heap[position] = last;
  }
}

function smallerChild(heap: readonly ScheduledAction[], position: number): number {
  const left = 2 * position + 1;
  const one = heap[left];
  const other = heap[left + 1];
  return one !== undefined && other !== undefined && isBefore(other, one) ? left + 1 : left;
}

function isBefore(one: ScheduledAction, other: ScheduledAction): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
}
