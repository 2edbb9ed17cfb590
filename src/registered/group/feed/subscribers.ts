/**
 * @file A balancer that gets its feed from this control machine, as the machine keeps it while the link lives. Each field
 * has one module that changes it: what was sent and how far a full sync and an update are, feed-plan.ts; what was
 * acknowledged and merged, balancer-feed.ts; the published tables, load-duties.ts. Both that send set the next pulse.
 */
import { ANSWER_STATS_ROWS } from '../../load-exchange/answer-stats.js';
import { createTableThrottle, type TableThrottle } from '../../load-exchange/table-throttle.js';
import { LOAD_ROWS, type RowShape } from '../../load-exchange/packed-rows.js';
import type { BalancerInfo, SubscribeMessage, UnfinishedConfig } from '../group-messages.js';
import { createPendingUpdates, type PendingUpdates } from './pending-updates.js';

/** How much a balancer has been sent. */
export type SubscriberPhase =
  /** Nothing. */
  | 'new'
  /** Some of the whole state, while this machine was not current. */
  | 'sync-provisional'
  /** Some of the whole state, while this machine was current. */
  | 'sync-current'
  /** The whole state, while this machine was not current. */
  | 'provisional'
  /** The whole state, while this machine was current, and all changes since. */
  | 'fed';

/** What a balancer was sent of one table of the load exchange. */
export interface PublishedTable {
  /** The version of the totals that it was sent last. */
  version: number;
  /** When it is sent again. */
  readonly outlet: TableThrottle;
}

/** A balancer that gets its feed from here. */
export interface Subscriber {
  readonly balancer: BalancerInfo;
  /** Version of the configuration that it holds once it has applied all that was sent. */
  configVersion: number;
  /** How much of an update it has, where that is not all. */
  unfinished: UnfinishedConfig | undefined;
  phase: SubscriberPhase;
  /** What it has not been sent yet. */
  pendingUpdates: PendingUpdates;
  /** True while a full sync is under way of which it has been sent some. */
  isInFullSync: boolean;
  /** Messages that were sent and that it acknowledges. */
  countedSent: number;
  /** How many of them it has applied. */
  countedApplied: number;
  /** True where the last message said that this machine was current. */
  wasSentCurrent: boolean;
  /** When it gets a message though nothing has changed, in milliseconds. */
  nextPulseAtMs: number;
  readonly loads: PublishedTable;
  readonly answerStats: PublishedTable;
}

/** @returns a balancer that has just subscribed and was sent nothing yet */
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
    wasSentCurrent: false,
    nextPulseAtMs: Number.NEGATIVE_INFINITY,
    loads: createPublishedTable(LOAD_ROWS),
    answerStats: createPublishedTable(ANSWER_STATS_ROWS),
  };
}

/** A link keeps the order, so a table that has not changed needs no refresh. */
function createPublishedTable(shape: RowShape): PublishedTable {
  return { version: -1, outlet: createTableThrottle(Number.POSITIVE_INFINITY, shape) };
}
