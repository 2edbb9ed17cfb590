/**
 * @file Timeouts and intervals of consensus, links and feeds. Each has a maximum, for wide recovery bounds, and is scaled
 * down to the narrowest bound of the deployment, so that losing a feed and finding another one fits into it. Shorter
 * times detect failures sooner, but cause more false alarms.
 */

/** Recovery bounds that a deployment must meet, in milliseconds. */
interface DeploymentBounds {
  /** Time after a disturbance within which a machine meets all bounds again. */
  readonly contactMs: number;
  /** Time after its acknowledgement within which a configuration is applied everywhere. */
  readonly applyMs: number;
  /** Time after an acknowledged departure within which the back end stops receiving new flows. */
  readonly drainMs: number;
}

/** Timeouts after which a balancer leaves its feed source, in milliseconds. */
export interface FeedTiming {
  /** Time without any message. */
  readonly silentAfterMs: number;
  /** Time during which the control machine reports that it is not current. */
  readonly staleAfterMs: number;
  /** Time until the first message on a link. */
  readonly firstMessageAfterMs: number;
  /** Time for which the last message of a current control machine counts as up to date. */
  readonly freshMs: number;
}

/** Timeouts and intervals of a deployment, in milliseconds. */
export interface Timing {
  readonly consensus: {
    readonly heartbeatIntervalMs: number;
    readonly electionTimeoutMs: number;
    readonly firstElectionTimeoutMs: number;
  };
  readonly links: {
    readonly keepAliveIntervalMs: number;
    readonly silentAfterMs: number;
    readonly connectTimeoutMs: number;
  };
  readonly feed: FeedTiming;
  /** Interval of keep-alive messages to a balancer while nothing changes. */
  readonly feedKeepAliveIntervalMs: number;
}

/** Bounds for which the maximum times below are valid. */
const WIDEST_BOUNDS: DeploymentBounds = { contactMs: 4_000, applyMs: 3_000, drainMs: 3_000 };

/** Lower limit, so that short pauses of a busy processor do not look like failures. */
const MIN_SCALE = 0.25;

/** Four heartbeats fit into an election timeout. */
const LEADER_HEARTBEAT_INTERVAL_MS = 150;
/** Longer than it takes to send a batch of entries, 80 ms on a link of 51 Mbit/s, also when scaled. */
const ELECTION_TIMEOUT_MS = 700;
/** Election timeout after a start, while no leader is known; short, so that a group recovers quickly from a full restart. */
const FIRST_ELECTION_TIMEOUT_MS = 80;
/** Three keep-alives fit into the link timeout. */
const LINK_KEEP_ALIVE_INTERVAL_MS = 400;
const LINK_TIMEOUT_MS = 1_200;
/** Not scaled, because round-trip times do not depend on the bounds. */
const CONNECT_TIMEOUT_MS = 200;
const FEED_TIMEOUT_MS = 1_000;
/**
 * Tolerates a slightly late message of the leader; short, because a balancer that tries each machine of the minority side of a
 * partition in turn handles flows by an old configuration meanwhile.
 */
const FEED_STALE_TIMEOUT_MS = 200;
const FEED_FIRST_MESSAGE_TIMEOUT_MS = 700;
/** A balancer with an older feed does not reset flow opens of unknown routes, which may just have been added. */
const FEED_FRESH_MS = 1_500;
/** Two keep-alives fit into the feed timeout. */
const FEED_KEEP_ALIVE_INTERVAL_MS = 400;

/**
 * @returns the timeouts and intervals for a deployment with these bounds
 */
export function timingFor(bounds: DeploymentBounds): Timing {
  const scale = scaleFor(bounds);
  const scaled = (maxMs: number) => Math.round(maxMs * scale);
  return {
    consensus: {
      heartbeatIntervalMs: scaled(LEADER_HEARTBEAT_INTERVAL_MS),
      electionTimeoutMs: scaled(ELECTION_TIMEOUT_MS),
      firstElectionTimeoutMs: scaled(FIRST_ELECTION_TIMEOUT_MS),
    },
    links: {
      keepAliveIntervalMs: scaled(LINK_KEEP_ALIVE_INTERVAL_MS),
      silentAfterMs: scaled(LINK_TIMEOUT_MS),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    },
    feed: {
      silentAfterMs: scaled(FEED_TIMEOUT_MS),
      staleAfterMs: scaled(FEED_STALE_TIMEOUT_MS),
      firstMessageAfterMs: scaled(FEED_FIRST_MESSAGE_TIMEOUT_MS),
      freshMs: scaled(FEED_FRESH_MS),
    },
    feedKeepAliveIntervalMs: scaled(FEED_KEEP_ALIVE_INTERVAL_MS),
  };
}

/** @returns the factor for the maximum times, from MIN_SCALE to 1 */
function scaleFor({ contactMs, applyMs, drainMs }: DeploymentBounds): number {
  const narrowestRatio = Math.min(
    1,
    contactMs / WIDEST_BOUNDS.contactMs,
    applyMs / WIDEST_BOUNDS.applyMs,
    drainMs / WIDEST_BOUNDS.drainMs,
  );
  return Math.max(MIN_SCALE, narrowestRatio);
}

/** Unscaled timeouts and intervals, for deployments with wide bounds. */
export const widestTiming: Timing = timingFor(WIDEST_BOUNDS);
