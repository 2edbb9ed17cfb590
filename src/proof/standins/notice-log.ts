/**
 * @file Bounded log of the notices of a service at one back end. Notice numbers are the same at every
 * back end of the service, so that a caller can resume its feed at any of them.
 */

/** A log of consecutive notices. */
export class NoticeLog {
  private readonly payloads = new Map<number, Uint8Array>();
  /** Notices received ahead of an earlier missing one. */
  private readonly outOfOrder = new Map<number, Uint8Array>();
  private oldestNumber = 1;
  private nextNumber: number | undefined;

  /**
   * @param capacity maximum number of notices; beyond it the oldest are dropped
   */
  constructor(private readonly capacity: number) {}

  /** Number of the oldest notice; undefined if none has been received. */
  get firstNumber(): number | undefined {
    return this.nextNumber === undefined ? undefined : this.oldestNumber;
  }

  /** Number of the newest notice; 0 if none has been received. */
  get lastNumber(): number {
    return (this.nextNumber ?? 1) - 1;
  }

  /** Number that the publisher should send next; undefined if the log accepts any. */
  get expectedNumber(): number | undefined {
    return this.nextNumber;
  }

  /** Adds a notice. The first one determines the start of the log; duplicates are ignored. */
  append(number: number, payload: Uint8Array): void {
    if (this.nextNumber === undefined) {
      this.oldestNumber = number;
      this.nextNumber = number;
    }
    if (number < this.nextNumber) {
      return;
    }
    this.outOfOrder.set(number, payload);
    if (this.outOfOrder.size > this.capacity) {
      this.skipGap();
    }
    this.appendConsecutive();
  }

  /** The payload of a notice, or undefined if it is not in the log. */
  read(number: number): Uint8Array | undefined {
    return this.payloads.get(number);
  }

  /** True if a reader that has all notices up to `position` can continue without a gap. */
  covers(position: number): boolean {
    return this.nextNumber === undefined || position + 1 >= this.oldestNumber;
  }

  private appendConsecutive(): void {
    let next = this.nextNumber ?? 1;
    for (let payload = this.outOfOrder.get(next); payload; payload = this.outOfOrder.get(next)) {
      this.outOfOrder.delete(next);
      this.payloads.set(next, payload);
      next += 1;
    }
    this.nextNumber = next;
    while (this.payloads.size > this.capacity) {
      this.payloads.delete(this.oldestNumber);
      this.oldestNumber += 1;
    }
  }

  /** Gives up missing notices and restarts the log after them; readers detect the gap through `covers`. */
  private skipGap(): void {
    const restart = Math.min(...this.outOfOrder.keys());
    this.payloads.clear();
    this.oldestNumber = restart;
    this.nextNumber = restart;
  }
}
