/**
 * @file Which control machine a balancer gets its feed from: one that says that it is current, another
 * one as soon as it is silent or ceases to be. One of the own zone comes first, since bytes between zones
 * are paid for; a balancer that had to go elsewhere returns in its own time, so that not all do at once.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { ControlInfo } from '../group/group-messages.js';
import type { FeedTiming } from '../group/timing.js';

/** Time before the next try, in milliseconds. */
export const FEED_RETRY_AFTER_MS = 40;

/** Why a link is closed from here. */
export type CloseReason =
  /** It brought no first message in time. */
  | 'no-feed'
  /** It brings nothing any more. */
  | 'silent'
  /** The control machine says that it is not current. */
  | 'not-current'
  /** A control machine of the own zone may be had again. */
  | 'returns-to-own-zone';

/** What the owner of the link should do now. */
export type FeedAction =
  | { readonly type: 'connect'; readonly address: Address }
  | { readonly type: 'close'; readonly why: CloseReason }
  | { readonly type: 'wait' };

/** Who looks for a control machine. */
export interface FeedSeeker {
  /** Where to look first. */
  readonly seeds: readonly Address[];
  readonly zone: string;
  /** Spreads balancers over the control machines, and their returns over time; whole. */
  readonly spread: number;
}

interface LinkedControl {
  readonly address: Address;
  readonly sinceMs: number;
  /** When some of a message came last that is not whole yet. */
  progressAtMs: number;
  receivedAtMs: number | undefined;
  /** Since when it says that it is not current. */
  staleSinceMs: number | undefined;
  /** True once this balancer has decided to close the link. */
  isLeft: boolean;
}

/** A balancer stays for so long at least with a control machine of another zone, in milliseconds ... */
const RETURN_AFTER_MS = 1_500;
/** ... and up to so much longer, by its spread: a hundred balancers then return some ten in a second. */
const RETURN_SPREAD_MS = 4_000;
/** A control machine that could not be reached, or was not current, is not returned to for so long. */
const AVOID_MS = 4_000;
/** It doubles with each failure that follows, up to this. */
const MAX_AVOID_MS = 30_000;

interface AvoidedControl {
  readonly untilMs: number;
  readonly avoidMs: number;
}

/** Chooses the control machine. */
export class FeedSource {
  private seeds: readonly Address[];
  private candidates: readonly ControlInfo[];
  private next: number;
  private linked: LinkedControl | undefined;
  private retryAtMs = Number.NEGATIVE_INFINITY;
  /** Control machines that failed, by their addresses. */
  private readonly avoided = new Map<string, AvoidedControl>();

  constructor(
    private readonly seeker: FeedSeeker,
    private readonly timing: FeedTiming,
  ) {
    this.seeds = seeker.seeds;
    this.candidates = seeker.seeds.map((linkAddress) => ({ linkAddress }));
    this.next = seeker.spread;
  }

  /** Takes the list of control machines; seeds stay in it, since the list may be old. */
  applyControls(controls: readonly ControlInfo[]): void {
    const seeds = this.seeds.map((linkAddress): ControlInfo => ({ linkAddress }));
    const byText = new Map<string, ControlInfo>();
    for (const control of [...controls, ...seeds]) {
      const name = formatAddress(control.linkAddress);
      byText.set(name, byText.get(name) ?? control);
    }
    this.candidates = [...byText.values()];
  }

  /** Takes other seeds, beside the control machines known already. */
  setSeeds(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.applyControls(this.candidates);
  }

  /** Notes a message of the control machine. */
  recordMessage(isCurrent: boolean, nowMs: number): void {
    if (this.linked !== undefined) {
      this.linked.receivedAtMs = nowMs;
      this.linked.staleSinceMs = isCurrent ? undefined : (this.linked.staleSinceMs ?? nowMs);
      if (isCurrent) {
        this.avoided.delete(formatAddress(this.linked.address));
      }
    }
  }

  /** Notes that some of a message has come: a slow link that goes on is alive. */
  recordProgress(nowMs: number): void {
    if (this.linked !== undefined) {
      this.linked.progressAtMs = nowMs;
    }
  }

  /**
   * Notes that the link is closed.
   * @returns true where it had brought something: the feed is lost, not merely not reached
   */
  recordClosed(nowMs: number): boolean {
    const hadFeed = this.linked?.receivedAtMs !== undefined;
    if (this.linked?.isLeft === false) {
      this.avoid(this.linked.address, nowMs);
    }
    this.linked = undefined;
    this.retryAtMs = nowMs + FEED_RETRY_AFTER_MS;
    return hadFeed;
  }

  /** Decides what to do with the link. */
  nextAction(nowMs: number): FeedAction {
    if (this.linked !== undefined) {
      return this.actLinked(this.linked, nowMs);
    }
    if (nowMs < this.retryAtMs || this.candidates.length === 0) {
      return { type: 'wait' };
    }
    const address = this.nearest(nowMs) ?? this.nextInTurn();
    if (address === undefined) {
      return { type: 'wait' };
    }
    this.linked = {
      address,
      sinceMs: nowMs,
      progressAtMs: nowMs,
      receivedAtMs: undefined,
      staleSinceMs: undefined,
      isLeft: false,
    };
    return { type: 'connect', address };
  }

  private actLinked(link: LinkedControl, nowMs: number): FeedAction {
    const fault = this.faultOf(link, nowMs);
    if (fault !== undefined) {
      this.avoid(link.address, nowMs);
    }
    const why = fault ?? (this.mayReturn(link, nowMs) ? 'returns-to-own-zone' : undefined);
    if (why === undefined) {
      return { type: 'wait' };
    }
    link.isLeft = true;
    return { type: 'close', why };
  }

  /** A link to another zone is left once the balancer has been there for its time. */
  private mayReturn({ address, sinceMs }: LinkedControl, nowMs: number): boolean {
    const stayMs = RETURN_AFTER_MS + (this.seeker.spread % RETURN_SPREAD_MS);
    const isNear = this.candidates.some(
      ({ linkAddress, zone }) =>
        zone === this.seeker.zone && formatAddress(linkAddress) === formatAddress(address),
    );
    return !isNear && nowMs - sinceMs >= stayMs && this.nearest(nowMs) !== undefined;
  }

  /** @returns a control machine of the own zone that did not fail lately; balancers spread over them */
  private nearest(nowMs: number): Address | undefined {
    const { zone: ownZone, spread } = this.seeker;
    const near = this.candidates.filter(
      ({ linkAddress, zone }) => zone === ownZone && !this.isAvoided(linkAddress, nowMs),
    );
    return near[spread % near.length]?.linkAddress;
  }

  private nextInTurn(): Address | undefined {
    const control = this.candidates[this.next % this.candidates.length];
    this.next += 1;
    return control?.linkAddress;
  }

  private isAvoided(address: Address, nowMs: number): boolean {
    const avoided = this.avoided.get(formatAddress(address));
    return avoided !== undefined && nowMs < avoided.untilMs;
  }

  private avoid(address: Address, nowMs: number): void {
    const name = formatAddress(address);
    const before = this.avoided.get(name)?.avoidMs ?? AVOID_MS / 2;
    const avoidMs = Math.min(MAX_AVOID_MS, 2 * before);
    this.avoided.set(name, { untilMs: nowMs + avoidMs, avoidMs });
  }

  private faultOf(link: LinkedControl, nowMs: number): CloseReason | undefined {
    const { sinceMs, receivedAtMs, staleSinceMs, progressAtMs } = link;
    const { silentAfterMs, staleAfterMs, firstMessageAfterMs } = this.timing;
    if (receivedAtMs === undefined) {
      const waitedMs = nowMs - Math.max(sinceMs, progressAtMs);
      return waitedMs > firstMessageAfterMs ? 'no-feed' : undefined;
    }
    if (staleSinceMs !== undefined && nowMs - staleSinceMs >= staleAfterMs) {
      return 'not-current';
    }
    return nowMs - Math.max(receivedAtMs, progressAtMs) > silentAfterMs ? 'silent' : undefined;
  }
}
