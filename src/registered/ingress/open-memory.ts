/**
 * @file A short memory of where opens went, so that a copy of an open goes where the first went. If two back ends took
 * one flow, the client's packets could reach the one that it did not choose. It is lost with the process; the holders
 * of an open, other balancers, keep it as well.
 */
import type { FlowKey } from './packet-view.js';
import { createExpiringMap, type ExpiringMap } from '../../shared/common/expiring-map.js';

/** How long copies of an open may come after the first, in milliseconds. */
export const OPEN_LIFETIME_MS = 2_000;

/** Opens beyond this number in one period are not remembered: other balancers may send any number. */
const MAX_OPENS = 200_000;

/** Tokens of the back ends to which the opens of the last one to two periods went. */
export class OpenMemory {
  private readonly tokens: ExpiringMap<FlowKey, number>;

  constructor(periodMs: number) {
    this.tokens = createExpiringMap({ periodMs, maxEntries: MAX_OPENS });
  }

  remember(key: FlowKey, token: number, nowMs: number): void {
    this.tokens.set(key, token, nowMs);
  }

  /** @returns the token of the back end that an open went to; undefined where none is known */
  recall(key: FlowKey, nowMs: number): number | undefined {
    return this.tokens.get(key, nowMs);
  }
}
