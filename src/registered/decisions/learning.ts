/**
 * @file Decides whether this balancer may not know all back ends yet: just after a start, while it is cut off
 * from control machines, and while it stops. An open without a back end is then dropped rather than reset, so
 * that its client retries.
 */
import type { FeedStatus } from '../ingress/feed-status.js';

/** Two intervals after the first current feed, a heartbeat of every live back end has arrived. */
const LEARNING_HEARTBEAT_INTERVALS = 2;

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function isLearning(
  isReady: boolean,
  feedStatus: FeedStatus,
  heartbeatIntervalMs: number,
  nowMs: number,
): boolean {
  const sinceFirstCurrentMs = nowMs - (feedStatus.firstCurrentAtMs ?? nowMs);
  return (
    !isReady ||
    !feedStatus.isCurrent(nowMs) ||
    sinceFirstCurrentMs < LEARNING_HEARTBEAT_INTERVALS * heartbeatIntervalMs
  );
}
