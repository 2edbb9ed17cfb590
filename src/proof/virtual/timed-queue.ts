/**
 * @file Actions in the order of their times and, at the same time, of their adding: the core of every
 * virtual clock. A binary heap.
 */

/** An action that is due at a virtual time. */
export interface TimedAction {
  /** In milliseconds. */
  readonly atMs: number;
  readonly run: () => void;
}

interface OrderedAction extends TimedAction {
  readonly order: number;
}

/** A queue of actions. */
export class TimedQueue {
  private readonly heap: OrderedAction[] = [];
  private nextOrder = 0;

  /** Adds an action. */
  add(atMs: number, run: () => void): void {
    this.siftUp({ atMs, run, order: this.nextOrder });
    this.nextOrder += 1;
  }

  /**
   * @returns the next action that is due by `nowMs`, taken out, or undefined
   */
  takeDue(nowMs: number): TimedAction | undefined {
    const next = this.heap[0];
    if (next === undefined || next.atMs > nowMs) {
      return undefined;
    }
    this.removeFirst();
    return next;
  }

  private siftUp(action: OrderedAction): void {
    const { heap } = this;
    let position = heap.length;
    heap.push(action);
    while (position > 0) {
      const parent = (position - 1) >>> 1;
      const above = heap[parent];
      if (above === undefined || comesBefore(above, action)) {
        break;
      }
      heap[position] = above;
      position = parent;
    }
    heap[position] = action;
  }

  private removeFirst(): void {
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
    const one = this.heap[left];
    const other = this.heap[left + 1];
    return one !== undefined && other !== undefined && comesBefore(other, one) ? left + 1 : left;
  }
}

function comesBefore(one: OrderedAction, other: OrderedAction): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
}
