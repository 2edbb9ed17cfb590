/**
 * @file Chooses the control machine that feeds this balancer, and decides when its link is closed. A control
 * machine that is silent or not current is left without delay, because an unfed balancer places flows by outdated state. One
 * of the own zone is preferred, since traffic between zones costs money; balancers return to it at different times.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { ControlInfo } from '../group/group-messages.js';
import type { FeedTiming } from '../group/timing.js';

/** Delay before the next connection attempt after a link closed. */
export const FEED_RETRY_DELAY_MS = 40;

/** Why this balancer closes a link; the field `why` of the line `feed left`. */
type CloseReason =
  /** No first message arrived in time. */
  | 'no-feed'
  /** Messages have stopped. */
  | 'silent'
  /** The control machine reports that it is not current. */
  | 'not-current'
  /** A control machine of the own zone is available again. */
  | 'returns-to-own-zone';

/** The next action for the owner of the link. */
type FeedAction =
  | { readonly type: 'connect'; readonly address: Address }
  | { readonly type: 'close'; readonly why: CloseReason }
  | { readonly type: 'wait' };

interface FeedSourceOptions {
  /** Link addresses of control machines, from the settings. */
  readonly seeds: readonly Address[];
  readonly zone: string;
  /** An integer hash of this balancer: spreads balancers over control machines, and their returns over time. */
  readonly spread: number;
}

interface ControlLink {
  readonly address: Address;
  readonly startedAtMs: number;
  /** When part of an incomplete message last arrived. */
  progressAtMs: number;
  receivedAtMs: number | undefined;
  /** Since when the control machine has reported that it is not current. */
  staleSinceMs: number | undefined;
  /** True once this balancer has decided to close the link. */
  isClosing: boolean;
}

/** Shortest stay with a control machine of another zone; prevents flapping. */
const MIN_REMOTE_STAY_MS = 1_500;
/** Added to the stay by `spread`, since each balancer that returns needs a full sync; 100 balancers return at 25 per second. */
const RETURN_JITTER_MS = 4_000;
/** Backoff of a control machine that could not be reached or was not current. */
const INITIAL_BACKOFF_MS = 4_000;
/** The backoff doubles with each further failure up to this limit. */
const MAX_BACKOFF_MS = 30_000;

interface Backoff {
  readonly untilMs: number;
  readonly delayMs: number;
}

/** Chooses the control machine that feeds one balancer. */
export class FeedSource {
  private seeds: readonly Address[];
  private candidates: readonly ControlInfo[];
  private nextIndex: number;
  private link: ControlLink | undefined;
  private retryAtMs = Number.NEGATIVE_INFINITY;
  /** Backoffs of control machines that failed, by address. */
  private readonly backoffs = new Map<string, Backoff>();

  constructor(
    private readonly options: FeedSourceOptions,
    private readonly timing: FeedTiming,
  ) {
    this.seeds = options.seeds;
    this.candidates = options.seeds.map((linkAddress) => ({ linkAddress }));
    this.nextIndex = options.spread;
  }

  /** Replaces the list of control machines; the seeds are kept, since the list may be out of date. */
  applyControls(controls: readonly ControlInfo[]): void {
    const seeds = this.seeds.map((linkAddress): ControlInfo => ({ linkAddress }));
    const byAddress = new Map<string, ControlInfo>();
    for (const control of [...controls, ...seeds]) {
      const address = formatAddress(control.linkAddress);
      byAddress.set(address, byAddress.get(address) ?? control);
    }
    this.candidates = [...byAddress.values()];
  }

  /** Link addresses of the known control machines. */
  get controls(): readonly Address[] {
    return this.candidates.map(({ linkAddress }) => linkAddress);
  }

  /** Takes over an open link whose control machine is current (first-feed.ts). */
  takeOver(address: Address, nowMs: number): void {
    this.link = {
      address,
      startedAtMs: nowMs,
      progressAtMs: nowMs,
      receivedAtMs: nowMs,
      staleSinceMs: undefined,
      isClosing: false,
    };
  }

  /** Replaces the seeds; other known control machines are kept. */
  setSeeds(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.applyControls(this.candidates);
  }

  /** Records a complete message of the control machine. */
  recordMessage(isCurrent: boolean, nowMs: number): void {
    if (this.link !== undefined) {
      this.link.receivedAtMs = nowMs;
      this.link.staleSinceMs = isCurrent ? undefined : (this.link.staleSinceMs ?? nowMs);
      if (isCurrent) {
        this.backoffs.delete(formatAddress(this.link.address));
      }
    }
  }

  /** Records that part of a message has arrived. */
  recordProgress(nowMs: number): void {
    if (this.link !== undefined) {
      this.link.progressAtMs = nowMs;
    }
  }

  /**
   * Records that the link is closed.
   * @returns true if a message had arrived: the feed is lost, not just unreachable
   */
  recordClosed(nowMs: number): boolean {
    const hadFeed = this.link?.receivedAtMs !== undefined;
    if (this.link?.isClosing === false) {
      this.backOff(this.link.address, nowMs);
    }
    this.link = undefined;
    this.retryAtMs = nowMs + FEED_RETRY_DELAY_MS;
    return hadFeed;
  }

  /** Decides the next action; called with each tick. */
  nextAction(nowMs: number): FeedAction {
    if (this.link !== undefined) {
      return this.nextLinkAction(this.link, nowMs);
    }
    if (nowMs < this.retryAtMs || this.candidates.length === 0) {
      return { type: 'wait' };
    }
    const address = this.ownZoneControl(nowMs) ?? this.nextRoundRobin();
    if (address === undefined) {
      return { type: 'wait' };
    }
    this.link = {
      address,
      startedAtMs: nowMs,
      progressAtMs: nowMs,
      receivedAtMs: undefined,
      staleSinceMs: undefined,
      isClosing: false,
    };
    return { type: 'connect', address };
  }

  private nextLinkAction(link: ControlLink, nowMs: number): FeedAction {
    const failure = this.failureOf(link, nowMs);
    if (failure !== undefined) {
      this.backOff(link.address, nowMs);
    }
    const why = failure ?? (this.shouldReturn(link, nowMs) ? 'returns-to-own-zone' : undefined);
    if (why === undefined) {
      return { type: 'wait' };
    }
    link.isClosing = true;
    return { type: 'close', why };
  }

  /** @returns true after a stay in another zone, once the own one has a control machine available */
  private shouldReturn({ address, startedAtMs }: ControlLink, nowMs: number): boolean {
    const stayMs = MIN_REMOTE_STAY_MS + (this.options.spread % RETURN_JITTER_MS);
    const isInOwnZone = this.candidates.some(
      ({ linkAddress, zone }) =>
        zone === this.options.zone && formatAddress(linkAddress) === formatAddress(address),
    );
    return (
      !isInOwnZone && nowMs - startedAtMs >= stayMs && this.ownZoneControl(nowMs) !== undefined
    );
  }

  /** @returns a control machine of the own zone that is not backed off */
  private ownZoneControl(nowMs: number): Address | undefined {
    const { zone: ownZone, spread } = this.options;
    const inOwnZone = this.candidates.filter(
      ({ linkAddress, zone }) => zone === ownZone && !this.isBackedOff(linkAddress, nowMs),
    );
    return inOwnZone[spread % inOwnZone.length]?.linkAddress;
  }

  private nextRoundRobin(): Address | undefined {
    const control = this.candidates[this.nextIndex % this.candidates.length];
    this.nextIndex += 1;
    return control?.linkAddress;
  }

  private isBackedOff(address: Address, nowMs: number): boolean {
    const backoff = this.backoffs.get(formatAddress(address));
    return backoff !== undefined && nowMs < backoff.untilMs;
  }

  private backOff(address: Address, nowMs: number): void {
    const key = formatAddress(address);
    const previousMs = this.backoffs.get(key)?.delayMs ?? INITIAL_BACKOFF_MS / 2;
    const delayMs = Math.min(MAX_BACKOFF_MS, 2 * previousMs);
    this.backoffs.set(key, { untilMs: nowMs + delayMs, delayMs });
  }

  private failureOf(link: ControlLink, nowMs: number): CloseReason | undefined {
    const { startedAtMs, receivedAtMs, staleSinceMs, progressAtMs } = link;
    const { silentAfterMs, staleAfterMs, firstMessageAfterMs } = this.timing;
    if (receivedAtMs === undefined) {
      const idleMs = nowMs - Math.max(startedAtMs, progressAtMs);
      return idleMs > firstMessageAfterMs ? 'no-feed' : undefined;
    }
    if (staleSinceMs !== undefined && nowMs - staleSinceMs >= staleAfterMs) {
      return 'not-current';
    }
    return nowMs - Math.max(receivedAtMs, progressAtMs) > silentAfterMs ? 'silent' : undefined;
  }
}
