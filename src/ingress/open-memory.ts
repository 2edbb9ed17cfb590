/**
 * @file A short memory of where opens went, so that a copy of an open goes where the first went. If two
 * back ends took one flow, the client's packets could reach the one that it did not choose.
 */
import type { FlowKey } from './packet-view.js';

/** Opens beyond this number in one period are not remembered: other balancers may tell of any number. */
const MAX_OPENS = 200_000;

/** Tokens of the back ends to which the opens of the last one to two periods went. */
export class OpenMemory {
  private young = new Map<FlowKey, number>();
  private old = new Map<FlowKey, number>();
  private turnedAtMs = 0;

  constructor(private readonly periodMs: number) {}

  remember(key: FlowKey, token: number, nowMs: number): void {
    this.turn(nowMs);
    if (this.young.size < MAX_OPENS) {
      this.young.set(key, token);
    }
  }

  /** @returns the token of the back end that an open went to; undefined where none is known */
  recall(key: FlowKey, nowMs: number): number | undefined {
    this.turn(nowMs);
    return this.young.get(key) ?? this.old.get(key);
  }

  private turn(nowMs: number): void {
    if (nowMs - this.turnedAtMs < this.periodMs) {
      return;
    }
    const isFresh = nowMs - this.turnedAtMs < 2 * this.periodMs;
    this.old = isFresh ? this.young : new Map<FlowKey, number>();
    this.young = new Map();
    this.turnedAtMs = nowMs;
  }
}
