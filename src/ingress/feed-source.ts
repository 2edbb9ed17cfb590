/**
 * @file Which control machine a balancer gets its feed from: one that says that it is current, another
 * one as soon as it is silent or ceases to be.
 */
import { formatAddress, type Address } from '../common/address.js';
import type { ControlInfo } from '../group/group-messages.js';
import type { FeedTiming } from '../group/timing.js';

/** Time before the next try, in milliseconds. */
export const FEED_RETRY_AFTER_MS = 40;

/** What the owner of the link should do now. */
export type FeedAction =
  | { readonly type: 'connect'; readonly address: Address }
  | { readonly type: 'close' }
  | { readonly type: 'wait' };

interface LinkedControl {
  readonly sinceMs: number;
  heardAtMs: number | undefined;
  /** Since when it says that it is not current. */
  staleSinceMs: number | undefined;
}

/** Chooses the control machine. */
export class FeedSource {
  private candidates: Address[];
  private next: number;
  private linked: LinkedControl | undefined;
  private retryAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param seeds where to look first
   * @param offset spreads balancers over the control machines
   */
  constructor(
    private seeds: readonly Address[],
    offset: number,
    private readonly timing: FeedTiming,
  ) {
    this.candidates = [...seeds];
    this.next = offset;
  }

  /** Takes the list of control machines; seeds stay in it, since the list may be old. */
  takeControls(controls: readonly ControlInfo[]): void {
    const addresses = [...controls.map(({ linkAddress }) => linkAddress), ...this.seeds];
    const byText = new Map(addresses.map((address) => [formatAddress(address), address]));
    this.candidates = [...byText.values()];
  }

  /** Takes other seeds, beside the control machines known already. */
  takeSeeds(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.takeControls(this.candidates.map((linkAddress) => ({ linkAddress })));
  }

  /** Notes a message of the control machine. */
  heard(isCurrent: boolean, nowMs: number): void {
    if (this.linked !== undefined) {
      this.linked.heardAtMs = nowMs;
      this.linked.staleSinceMs = isCurrent ? undefined : (this.linked.staleSinceMs ?? nowMs);
    }
  }

  /**
   * Notes that the link is closed.
   * @returns true where it had brought something: the feed is lost, not merely not reached
   */
  closed(nowMs: number): boolean {
    const hadFeed = this.linked?.heardAtMs !== undefined;
    this.linked = undefined;
    this.retryAtMs = nowMs + FEED_RETRY_AFTER_MS;
    return hadFeed;
  }

  /** Decides what to do with the link. */
  act(nowMs: number): FeedAction {
    if (this.linked !== undefined) {
      return this.isUseless(this.linked, nowMs) ? { type: 'close' } : { type: 'wait' };
    }
    if (nowMs < this.retryAtMs || this.candidates.length === 0) {
      return { type: 'wait' };
    }
    const address = this.candidates[this.next % this.candidates.length];
    this.next += 1;
    if (address === undefined) {
      return { type: 'wait' };
    }
    this.linked = { sinceMs: nowMs, heardAtMs: undefined, staleSinceMs: undefined };
    return { type: 'connect', address };
  }

  private isUseless(link: LinkedControl, nowMs: number): boolean {
    const { sinceMs, heardAtMs, staleSinceMs } = link;
    const { silentAfterMs, staleAfterMs, firstMessageAfterMs } = this.timing;
    if (heardAtMs === undefined) {
      return nowMs - sinceMs > firstMessageAfterMs;
    }
    const isStale = staleSinceMs !== undefined && nowMs - staleSinceMs >= staleAfterMs;
    return isStale || nowMs - heardAtMs > silentAfterMs;
  }
}
