/**
 * @file May there be back ends that this balancer does not know yet?
 *
 * - Inputs: whether the balancer is ready, when it was current, the heartbeat interval (milliseconds).
 * - Returns: true just after a start, while it is cut off, and while it stops.
 * - Reason: a back end that lives sends a heartbeat each interval, so two intervals after the first current feed all are
 *   known. Until then an open that finds no back end is dropped and not reset: its client repeats it.
 *
 * Setting `policy.learning`; the line `dropped reason=no-backend`.
 */
import type { FeedStatus } from '../ingress/feed-status.js';

/**
 * Not measured. Too few if `reset reason=no-backend` is logged just after starts of balancers or control machines; too
 * many if callers of a service without back ends wait for their deadlines.
 */
const LEARNING_INTERVALS = 2;

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function isLearning(
  isReady: boolean,
  feedStatus: FeedStatus,
  heartbeatIntervalMs: number,
  nowMs: number,
): boolean {
  const sinceFirstMs = nowMs - (feedStatus.firstCurrentAtMs ?? nowMs);
  return (
    !isReady ||
    !feedStatus.isCurrent(nowMs) ||
    sinceFirstMs < LEARNING_INTERVALS * heartbeatIntervalMs
  );
}
