/**
 * @file A short memory of where opens went, so that a copy of an open goes where the first went. If two
 * back ends took one flow, the client's packets could reach the one that it did not choose.
 */
import type { FlowKey } from './packet-view.js';

/** An open that was placed. */
export interface PlacedOpen {
  readonly backendId: string;
  readonly placedAtMs: number;
}

/** Opens of the last one to two periods. */
export class OpenMemory {
  private young = new Map<FlowKey, PlacedOpen>();
  private old = new Map<FlowKey, PlacedOpen>();
  private turnedAtMs = 0;

  constructor(private readonly periodMs: number) {}

  remember(key: FlowKey, backendId: string, nowMs: number): void {
    this.turn(nowMs);
    this.young.set(key, { backendId, placedAtMs: nowMs });
  }

  recall(key: FlowKey, nowMs: number): PlacedOpen | undefined {
    this.turn(nowMs);
    return this.young.get(key) ?? this.old.get(key);
  }

  private turn(nowMs: number): void {
    if (nowMs - this.turnedAtMs < this.periodMs) {
      return;
    }
    const isFresh = nowMs - this.turnedAtMs < 2 * this.periodMs;
    this.old = isFresh ? this.young : new Map<FlowKey, PlacedOpen>();
    this.young = new Map();
    this.turnedAtMs = nowMs;
  }
}
