/**
 * @file Keeps older knowledge of liveness from replacing newer one while a balancer learns from a peer: from several peers in
 * turn, and from a control machine once it is back. Configurations, zone orders, departures and records carry their own
 * order; liveness carries none, so each statement is compared by the time at which its source was current.
 */
import type { FeedMessage } from '../../group/group-messages.js';
import type { BackendRecord } from '../../registry/backend-record.js';

/** What a balancer knows from its peer. */
export interface PeerKnowledge {
  /** True while a peer feeds this balancer. */
  readonly isFed: boolean;
  /** Time at which the peer was last current, in milliseconds; undefined while there is no peer. */
  readonly asOfMs: number | undefined;
  /** Records a message of the peer. */
  recordPeer(asOfMs: number): void;
  /** Records that the feed of the peer has ended. */
  recordEnd(): void;
  /** Records a message of a control machine that is current. */
  recordControl(nowMs: number): void;
  /** @returns true if neither a control machine nor a peer has said anything that was current later */
  isNewest(asOfMs: number): boolean;
  /**
   * @param isNewRecord returns true if a record is unknown or later by its sequence; such records are kept
   * @returns the message without records and liveness that are older than what is held; remembers the others
   */
  takeNewer(
    message: FeedMessage,
    asOfMs: number,
    isNewRecord: (record: BackendRecord) => boolean,
  ): FeedMessage;
}

/** @returns the knowledge of a balancer without a peer */
export function createPeerKnowledge(): PeerKnowledge {
  /** By back end, the time of the newest statement of a peer since a control machine was current. */
  let statedAtMs = new Map<string, number>();
  let controlAtMs = Number.NEGATIVE_INFINITY;
  /** Newest time of any peer since a control machine was current. */
  let newestPeerAtMs = Number.NEGATIVE_INFINITY;
  let knownAsOfMs: number | undefined;

  return {
    get isFed() {
      return knownAsOfMs !== undefined;
    },
    get asOfMs() {
      return knownAsOfMs;
    },
    recordPeer: (asOfMs) => {
      knownAsOfMs = Math.max(knownAsOfMs ?? asOfMs, asOfMs);
      newestPeerAtMs = Math.max(newestPeerAtMs, asOfMs);
    },
    recordEnd: () => {
      knownAsOfMs = undefined;
    },
    recordControl,
    isNewest: (asOfMs) => asOfMs >= Math.max(controlAtMs, newestPeerAtMs),
    takeNewer,
  };

  function recordControl(nowMs: number): void {
    controlAtMs = nowMs;
    newestPeerAtMs = Number.NEGATIVE_INFINITY;
    if (statedAtMs.size > 0) {
      statedAtMs = new Map();
    }
  }

  function takeNewer(
    message: FeedMessage,
    asOfMs: number,
    isNewRecord: (record: BackendRecord) => boolean,
  ): FeedMessage {
    const { records = [], judgements = [], ...others } = message;
    const isNewer = (id: string): boolean =>
      asOfMs >= Math.max(controlAtMs, statedAtMs.get(id) ?? controlAtMs);
    const newer = {
      records: records.filter(({ record }) => isNewer(record.id) || isNewRecord(record)),
      judgements: judgements.filter(({ backendId }) => isNewer(backendId)),
    };
    newer.records.forEach(({ record }) => state(record.id, asOfMs));
    newer.judgements.forEach(({ backendId }) => state(backendId, asOfMs));
    return { ...others, ...newer };
  }

  /** A new record may be older than the last statement on its back end. */
  function state(id: string, asOfMs: number): void {
    statedAtMs.set(id, Math.max(asOfMs, statedAtMs.get(id) ?? asOfMs));
  }
}
