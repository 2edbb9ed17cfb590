/**
 * @file A priority queue of timed actions for virtual clocks, implemented as a binary heap. Actions with equal times run
 * in insertion order.
 */

/** An action scheduled for a virtual time. */
export interface TimedAction {
  /** In milliseconds. */
  readonly atMs: number;
  readonly run: () => void;
}

interface OrderedAction extends TimedAction {
  readonly order: number;
}

/** Orders actions by time, then by insertion. */
export class TimedQueue {
  private readonly heap: OrderedAction[] = [];
  private nextOrder = 0;

  /** Schedules an action; `atMs` is in milliseconds of virtual time. */
  add(atMs: number, run: () => void): void {
    this.siftUp({ atMs, run, order: this.nextOrder });
    this.nextOrder += 1;
  }

  /** Removes and returns the next action due by `nowMs`; undefined if there is none. */
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
      const parentAction = heap[parent];
      if (parentAction === undefined || comesBefore(parentAction, action)) {
        break;
      }
      heap[position] = parentAction;
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
      const childAction = heap[child];
      if (childAction === undefined || comesBefore(last, childAction)) {
        break;
      }
      heap[position] = childAction;
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
