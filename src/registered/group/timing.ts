/**
 * @file The times after which processes give up links, leaders and feeds, worked out from the bounds that
 * a deployment must keep.
 */

/** Bounds that a deployment must keep, in milliseconds. */
export interface DeploymentBounds {
  /** A machine keeps all bounds again this long after a disturbance. */
  readonly contactMs: number;
  /** A configuration is in force everywhere this long after its acknowledgement. */
  readonly applyMs: number;
  /** A back end takes no new flow this long after its departure was acknowledged. */
  readonly drainMs: number;
}

/** When a balancer gives up the control machine that feeds it, in milliseconds. */
export interface FeedTiming {
  /** A link that brings nothing for so long is given up. */
  readonly silentAfterMs: number;
  /** A control machine that says for so long that it is not current is given up. */
  readonly staleAfterMs: number;
  /** A link must bring its first message within this time. */
  readonly firstMessageAfterMs: number;
  /** What was told counts as current for so long. */
  readonly freshMs: number;
}

/** All times that follow from the bounds, in milliseconds. */
export interface Timing {
  readonly consensus: {
    readonly heartbeatIntervalMs: number;
    readonly electionTimeoutMs: number;
    readonly firstElectionTimeoutMs: number;
  };
  readonly links: {
    readonly pulseIntervalMs: number;
    readonly silentAfterMs: number;
    readonly connectTimeoutMs: number;
  };
  readonly feed: FeedTiming;
  /** Time between two messages of a control machine to a balancer where nothing changes. */
  readonly feedPulseIntervalMs: number;
}

/** Bounds that the longest times suit; wider bounds gain nothing by waiting for longer. */
const WIDEST: DeploymentBounds = { contactMs: 4_000, applyMs: 3_000, drainMs: 3_000 };

/** Below this share of the longest times, pauses of a busy processor look like failures. */
const SMALLEST_SHARE = 0.25;

/**
 * @returns the times, shorter where the bounds are narrow, so that giving up a silent feed and finding
 *   another one fits into the narrowest of them
 */
export function timingFor(bounds: DeploymentBounds): Timing {
  const share = Math.max(
    SMALLEST_SHARE,
    Math.min(
      1,
      bounds.contactMs / WIDEST.contactMs,
      bounds.applyMs / WIDEST.applyMs,
      bounds.drainMs / WIDEST.drainMs,
    ),
  );
  const scaled = (longestMs: number) => Math.round(longestMs * share);
  return {
    consensus: {
      heartbeatIntervalMs: scaled(150),
      electionTimeoutMs: scaled(700),
      firstElectionTimeoutMs: scaled(80),
    },
    links: {
      pulseIntervalMs: scaled(400),
      silentAfterMs: scaled(1_200),
      // A round trip does not get shorter with the bounds.
      connectTimeoutMs: 200,
    },
    feed: {
      silentAfterMs: scaled(1_000),
      staleAfterMs: scaled(200),
      firstMessageAfterMs: scaled(700),
      freshMs: scaled(1_500),
    },
    feedPulseIntervalMs: scaled(400),
  };
}

/** The times of a deployment with wide bounds. */
export const widestTiming: Timing = timingFor(WIDEST);
