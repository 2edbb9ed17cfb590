/**
 * @file When this balancer was last current: when a control machine said that it is current itself and that the
 * balancer knows all that it does. Changed as the feed is applied; read by each rule that must not act on old knowledge.
 */

/** How old the knowledge of a balancer is. */
export interface FeedStatus {
  /** When the balancer was last current, in milliseconds; undefined for never. */
  readonly currentAtMs: number | undefined;
  /** When it was current first. */
  readonly firstCurrentAtMs: number | undefined;
  /** @returns true where it was current within the last `freshMs` */
  isCurrent(nowMs: number): boolean;
  recordCurrent(nowMs: number): void;
}

/** @param freshMs what the feed said counts as current for so long, in milliseconds */
export function createFeedStatus(freshMs: number): FeedStatus {
  let currentAtMs: number | undefined;
  let firstCurrentAtMs: number | undefined;

  return {
    get currentAtMs() {
      return currentAtMs;
    },
    get firstCurrentAtMs() {
      return firstCurrentAtMs;
    },
    isCurrent: (nowMs) => currentAtMs !== undefined && nowMs - currentAtMs <= freshMs,
    recordCurrent: (nowMs) => {
      currentAtMs = nowMs;
      firstCurrentAtMs ??= nowMs;
    },
  };
}
