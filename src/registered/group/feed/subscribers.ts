/**
 * @file The state of a balancer that subscribed to the feed of this control machine, kept while its link is open.
 * feed-plan.ts records what was sent, balancer-feed.ts acknowledgements and new updates, load-table-exchange.ts the
 * published load tables.
 */
import { ANSWER_STATS_ROWS } from '../../load-exchange/answer-stats.js';
import { createTableThrottle, type TableThrottle } from '../../load-exchange/table-throttle.js';
import { LOAD_ROWS, type RowShape } from '../../load-exchange/packed-rows.js';
import {
  createSuspicionThrottle,
  type SuspicionThrottle,
} from '../../load-exchange/suspicion-throttle.js';
import type { BalancerInfo, SubscribeMessage, UnfinishedConfig } from '../group-messages.js';
import { createPendingUpdates, type PendingUpdates } from './pending-updates.js';

/** Progress of the full sync of a balancer. */
export type SubscriberPhase =
  /** Nothing has been sent. */
  | 'new'
  /** A full sync is in progress; it began while this machine was not current. */
  | 'sync-provisional'
  /** A full sync is in progress; it began while this machine was current. */
  | 'sync-current'
  /** The full sync is complete, but this machine was not current. */
  | 'provisional'
  /** The full sync from a current machine is complete; only updates follow. */
  | 'fed';

/** Send state of one load table for a balancer. */
export interface PublishedTable {
  /** Version of the totals from which the table was last computed; -1 at first. */
  version: number;
  readonly throttle: TableThrottle;
}

/** A balancer that is connected to this control machine. */
export interface Subscriber {
  readonly balancer: BalancerInfo;
  /** Version of its configuration after it has applied all messages sent. */
  configVersion: number;
  /** The config update of which it has received a part. */
  unfinished: UnfinishedConfig | undefined;
  phase: SubscriberPhase;
  /** Updates that it has not been sent yet. */
  pendingUpdates: PendingUpdates;
  /** True after the first and before the last message of a full sync. */
  isInFullSync: boolean;
  /** Number of messages sent that require an acknowledgement. */
  countedSent: number;
  /** Number of those that it has acknowledged. */
  countedApplied: number;
  /** True if the last message said that this machine was current. */
  lastSentIsCurrent: boolean;
  /** Time at which a keep-alive is due, unless another message is sent before. */
  nextKeepAliveAtMs: number;
  readonly loads: PublishedTable;
  readonly answerStats: PublishedTable;
  readonly suspicions: SuspicionThrottle;
}

/** @returns the state of a balancer that has just subscribed */
export function createSubscriber(message: SubscribeMessage): Subscriber {
  const { balancer, configVersion, unfinished } = message;
  return {
    balancer,
    configVersion,
    unfinished,
    phase: 'new',
    pendingUpdates: createPendingUpdates(),
    isInFullSync: false,
    countedSent: 0,
    countedApplied: 0,
    lastSentIsCurrent: false,
    nextKeepAliveAtMs: Number.NEGATIVE_INFINITY,
    loads: createPublishedTable(LOAD_ROWS),
    answerStats: createPublishedTable(ANSWER_STATS_ROWS),
    suspicions: createSuspicionThrottle(),
  };
}

/** Links are reliable, so an unchanged table needs no refresh. */
function createPublishedTable(shape: RowShape): PublishedTable {
  return { version: -1, throttle: createTableThrottle(Number.POSITIVE_INFINITY, shape) };
}
