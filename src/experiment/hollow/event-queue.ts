/**
 * @file Virtual time: a queue of events, ordered by time and, at the same time, by the order in which
 * they were added. A binary heap.
 */

/** Something that happens at a virtual time. */
interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs events in the order of virtual time. */
export class EventQueue {
  private readonly heap: QueuedEvent[] = [];
  private nextOrder = 0;
  private currentMs = 0;

  /** The present virtual time in milliseconds, from 0. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Adds an event `delayMs` from now. */
  after(delayMs: number, run: () => void): void {
    this.push({ atMs: this.currentMs + delayMs, order: this.nextOrder, run });
    this.nextOrder += 1;
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
    for (let head = this.heap[0]; head !== undefined && head.atMs <= endMs; head = this.heap[0]) {
      this.removeHead();
      this.currentMs = head.atMs;
      head.run();
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

  private push(event: QueuedEvent): void {
    const { heap } = this;
    let position = heap.length;
    heap.push(event);
    while (position > 0) {
      const parent = (position - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || comesBefore(above, event)) {
        break;
      }
      heap[position] = above;
      position = parent;
    }
    heap[position] = event;
  }

  private removeHead(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let position = 0;
    for (;;) {
      const child = this.earlierChild(position);
      const below = heap[child];
      if (below === undefined || comesBefore(last, below)) {
        break;
      }
      heap[position] = below;
      position = child;
    }
    heap[position] = last;
  }

  private earlierChild(position: number): number {
    const left = 2 * position + 1;
    const [one, other] = [this.heap[left], this.heap[left + 1]];
    return one !== undefined && other !== undefined && comesBefore(other, one) ? left + 1 : left;
  }
}

function comesBefore(one: QueuedEvent, other: QueuedEvent): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
}
