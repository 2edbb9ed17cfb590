/**
 * @file Tracks how recently this balancer was current, i.e. had received the complete state of a control machine that was
 * itself current. Read by each rule that must not act on outdated state.
 */

/** Freshness of the state that a balancer has received through its feed. */
export interface FeedStatus {
  /** Time at which the balancer was last current, in milliseconds; undefined for never. */
  readonly lastCurrentAtMs: number | undefined;
  /** Time at which it first was current; undefined for never. */
  readonly firstCurrentAtMs: number | undefined;
  /** @returns true if the balancer was current within the last `freshMs` */
  isCurrent(nowMs: number): boolean;
  recordCurrent(nowMs: number): void;
}

/** @param freshMs time for which the received state counts as current, in milliseconds */
export function createFeedStatus(freshMs: number): FeedStatus {
  let lastCurrentAtMs: number | undefined;
  let firstCurrentAtMs: number | undefined;

  return {
    get lastCurrentAtMs() {
      return lastCurrentAtMs;
    },
    get firstCurrentAtMs() {
      return firstCurrentAtMs;
    },
    isCurrent: (nowMs) => lastCurrentAtMs !== undefined && nowMs - lastCurrentAtMs <= freshMs,
    recordCurrent: (nowMs) => {
      lastCurrentAtMs = nowMs;
      firstCurrentAtMs ??= nowMs;
    },
  };
}
