/**
 * @file The bounded log of a service's notices at one back end. Notices carry the same numbers, from
 * 1 on, at every back end of the service, so that a caller may go on anywhere after the last notice
 * that it has.
 */

/** A log of consecutive notices. */
export class NoticeLog {
  private readonly payloads = new Map<number, Uint8Array>();
  /** Notices that came before one that precedes them. */
  private readonly early = new Map<number, Uint8Array>();
  private oldest = 1;
  private next: number | undefined;

  /**
   * @param capacity how many notices are held; the oldest are dropped beyond it
   */
  constructor(private readonly capacity: number) {}

  /** Number of the oldest notice held; undefined where no notice has come yet. */
  get firstNumber(): number | undefined {
    return this.next === undefined ? undefined : this.oldest;
  }

  /** Number of the newest notice held; 0 where no notice has come yet. */
  get lastNumber(): number {
    return (this.next ?? 1) - 1;
  }

  /** The number that the publisher should send next; undefined where any one will do. */
  get expectedNumber(): number | undefined {
    return this.next;
  }

  /** Adds a notice; the log begins with the first one. Copies change nothing. */
  append(number: number, payload: Uint8Array): void {
    if (this.next === undefined) {
      this.oldest = number;
      this.next = number;
    }
    if (number < this.next) {
      return;
    }
    this.early.set(number, payload);
    if (this.early.size > this.capacity) {
      this.restartAtOldestEarly();
    }
    this.appendConsecutive();
  }

  /** The payload of a notice, or undefined where the log does not hold it. */
  read(number: number): Uint8Array | undefined {
    return this.payloads.get(number);
  }

  /** True where a reader at this position can go on without a gap. */
  covers(position: number): boolean {
    return this.next === undefined || position + 1 >= this.oldest;
  }

  private appendConsecutive(): void {
    let next = this.next ?? 1;
    for (let payload = this.early.get(next); payload; payload = this.early.get(next)) {
      this.early.delete(next);
      this.payloads.set(next, payload);
      next += 1;
    }
    this.next = next;
    while (this.payloads.size > this.capacity) {
      this.payloads.delete(this.oldest);
      this.oldest += 1;
    }
  }

  /** The missing notices will not come: the log begins anew, and its readers get a message of the gap. */
  private restartAtOldestEarly(): void {
    const restart = Math.min(...this.early.keys());
    this.payloads.clear();
    this.oldest = restart;
    this.next = restart;
  }
}
