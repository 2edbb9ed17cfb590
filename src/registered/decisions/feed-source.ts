/**
 * @file Which control machine feeds this balancer, and when is its link given up?
 *
 * - Inputs: the list of control machines with their zones, what came over the link and when (milliseconds), whether the
 *   control machine says that it is current, the feed timing (which follows from the bounds of the deployment).
 * - Returns: connect, close with a reason, or wait. It owns the list, the link's state and which machines are avoided.
 * - Reason: a balancer that is not fed places flows by old knowledge, so a control machine that is silent or not current
 *   is left without delay. One of the own zone comes first, since bytes between zones are paid for; a balancer that had
 *   to go elsewhere returns in its own time, so that not all return at once. A slow link that goes on is alive.
 *
 * Lines `feed left why=...`, `feed lost`, `feed not reached`; `amberlift_ingress_feed_age_seconds`.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { ControlInfo } from '../group/group-messages.js';
import type { FeedTiming } from '../group/timing.js';

/** Before the next try after a link closed, in milliseconds. Not measured; too short if `feed not reached` fills the logs. */
export const FEED_RETRY_AFTER_MS = 40;

/** Why a link is closed from here; the line `feed left` has the same words. */
type CloseReason =
  /** No first message came in time. */
  | 'no-feed'
  /** Nothing comes any more. */
  | 'silent'
  /** The control machine says that it is not current. */
  | 'not-current'
  /** A control machine of the own zone may be reached again. */
  | 'returns-to-own-zone';

/** What the owner of the link has to do now. */
type FeedAction =
  | { readonly type: 'connect'; readonly address: Address }
  | { readonly type: 'close'; readonly why: CloseReason }
  | { readonly type: 'wait' };

/** The balancer that looks for a control machine. */
interface FeedSeeker {
  /** Link addresses of control machines from the settings. */
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

/**
 * A balancer stays for so long at least with a control machine of another zone, in milliseconds ... Not measured; too
 * short if `feed left why=returns-to-own-zone` and `feed lost` alternate.
 */
const RETURN_AFTER_MS = 1_500;
/**
 * ... and up to so much longer, by its spread: a hundred balancers then return some 25 in a second, each with a full
 * sync. Not measured; too short if control machines fall behind when a zone is back.
 */
const RETURN_SPREAD_MS = 4_000;
/**
 * A control machine that could not be reached, or was not current, is not chosen as the one of the own zone for so long,
 * in milliseconds. Not measured; too short if `feed not reached` repeats for the same machine.
 */
const AVOID_MS = 4_000;
/** It doubles with each failure that follows, up to this, in milliseconds. Not measured. */
const MAX_AVOID_MS = 30_000;

interface AvoidedControl {
  readonly untilMs: number;
  readonly avoidMs: number;
}

/** Chooses the control machine of one balancer. */
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

  /** Applies the list of control machines of a feed; seeds stay in it, since the list may be old. */
  applyControls(controls: readonly ControlInfo[]): void {
    const seeds = this.seeds.map((linkAddress): ControlInfo => ({ linkAddress }));
    const byText = new Map<string, ControlInfo>();
    for (const control of [...controls, ...seeds]) {
      const name = formatAddress(control.linkAddress);
      byText.set(name, byText.get(name) ?? control);
    }
    this.candidates = [...byText.values()];
  }

  /** Replaces the seeds; control machines that are known already stay. */
  setSeeds(seeds: readonly Address[]): void {
    this.seeds = seeds;
    this.applyControls(this.candidates);
  }

  /** Records a message of the control machine. */
  recordMessage(isCurrent: boolean, nowMs: number): void {
    if (this.linked !== undefined) {
      this.linked.receivedAtMs = nowMs;
      this.linked.staleSinceMs = isCurrent ? undefined : (this.linked.staleSinceMs ?? nowMs);
      if (isCurrent) {
        this.avoided.delete(formatAddress(this.linked.address));
      }
    }
  }

  /** Records that some of a message has come. */
  recordProgress(nowMs: number): void {
    if (this.linked !== undefined) {
      this.linked.progressAtMs = nowMs;
    }
  }

  /**
   * Records that the link is closed.
   * @returns true where a message had come: the feed is lost, not merely not reached
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

  /** Decides what to do now; called with each tick. */
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
