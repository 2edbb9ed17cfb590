/**
 * @file Remembers for a short time which back end each open was sent to, so that copies of an open follow the first one;
 * a flow that reached two back ends would break. Not persisted, but the holders of an open keep it as well.
 */
import type { FlowKey } from './packet-view.js';
import { createExpiringMap, type ExpiringMap } from '../../shared/common/expiring-map.js';

/** Maximum delay of a copy after the first open, in milliseconds. */
export const OPEN_LIFETIME_MS = 2_000;

/** Limit per period; bounds memory, since other balancers add opens as well. */
const MAX_OPENS = 200_000;

/** Back end tokens of recent opens, kept for one to two periods. */
export class OpenMemory {
  private readonly tokens: ExpiringMap<FlowKey, number>;

  constructor(periodMs: number) {
    this.tokens = createExpiringMap({ periodMs, maxEntries: MAX_OPENS });
  }

  remember(key: FlowKey, token: number, nowMs: number): void {
    this.tokens.set(key, token, nowMs);
  }

  /** @returns the token of the back end that an open was sent to; undefined if not remembered */
  recall(key: FlowKey, nowMs: number): number | undefined {
    return this.tokens.get(key, nowMs);
  }
}
