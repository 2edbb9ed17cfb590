/** @file Events in the order of their time, and of their arrival where times are equal. */

interface QueuedEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** A queue of events on a virtual clock. */
export class EventQueue {
  private readonly events: QueuedEvent[] = [];

  add(atMs: number, run: () => void): void {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      // The next event stands last, so that taking it is cheap.
      if ((this.events[middle]?.atMs ?? 0) > atMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.events.splice(low, 0, { atMs, run });
  }

  /** @returns the next event that is due, taken out */
  takeDue(nowMs: number): QueuedEvent | undefined {
    const next = this.events.at(-1);
    return next !== undefined && next.atMs <= nowMs ? this.events.pop() : undefined;
  }
}
