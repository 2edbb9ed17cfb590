/**
 * @file The state of a balancer's subscription. `link-selection.ts` updates the fields of the link, `upstream-report.ts`
 * those of the last report, `subscription.ts` the rest.
 */
import type { Address } from '../../shared/common/address.js';
import type { ConfigPosition } from '../control/config-delta.js';
import { expiredLease, type Lease } from './lease.js';
import type { BalancerToControlMessage } from './link-messages.js';
import type { LinkPlan } from './link-plan.js';

/** Options of a subscription. */
interface SubscriptionOptions {
  readonly controlAddresses: readonly Address[];
  readonly clusterKey: string;
  readonly balancerId: string;
  readonly zone: string;
}

/** The state of a subscription. */
export interface SubscriptionState {
  readonly options: SubscriptionOptions;
  plan: LinkPlan;
  /** Index in the plan of the candidate in use or tried next. */
  cursor: number;
  /** Indexes of the candidates that have failed; cleared when the lease is extended or all have failed. */
  readonly failedCandidates: Set<number>;
  /** ID of the link in use or being opened; messages of earlier links are ignored. */
  linkId: number;
  linked: boolean;
  /** Remote address of the link in use or being opened. */
  address: Address | undefined;
  reconnectAtMs: number;
  preferredRetryAtMs: number;
  /** How many times a preferred candidate was retried. */
  preferredRetryCount: number;
  /** Index of the candidate to return to if the preferred one being retried fails. */
  fallbackCursor: number | undefined;
  /** When the last report was sent. */
  sentAtMs: number;
  /** Versions of the subtree reports that were last sent upstream, see `SubtreeReports`. */
  sentMembersVersion: number;
  sentIndexesVersion: number;
  /** Number of members in the last subtree report that listed them. */
  sentMemberCount: number;
  /** True if upstream does not know all members of the subtree. */
  mustSendMembers: boolean;
  /** Link address of the leader as named by a follower; undefined if the plan is followed. */
  leader: Address | undefined;
  /** The leader whose link failed last, and when it may be retried. */
  failedLeader: { readonly address: Address; readonly untilMs: number } | undefined;
  /** The committed position of the last heartbeat. */
  committed: ConfigPosition;
  /** When the last message was received over the link or, before that, when it was opened. */
  receivedAtMs: number;
  /** True once a message has been received over the link. */
  hasAnswered: boolean;
  /** When the lease was last extended over the link or, before that, when it was opened. */
  extendedAtMs: number;
  /** True once the lease has been extended over the link. */
  hasExtended: boolean;
  readonly lease: Lease;
  /** True if the link was refused because this balancer belongs to another cluster. */
  refused: boolean;
}

/** An effect for the daemon to perform. */
export type SubscriptionEffect =
  | { readonly type: 'link-open'; readonly linkId: number; readonly address: Address }
  | {
      readonly type: 'link-send';
      readonly linkId: number;
      readonly message: BalancerToControlMessage;
    };

/**
 * @returns a subscription without a link; its first tick opens one
 */
export function createSubscription(options: SubscriptionOptions): SubscriptionState {
  const { controlAddresses } = options;
  return {
    options,
    plan: {
      candidates: controlAddresses,
      preferredCount: controlAddresses.length,
      isRelay: true,
    },
    cursor: 0,
    failedCandidates: new Set(),
    linkId: 0,
    linked: false,
    address: undefined,
    reconnectAtMs: 0,
    preferredRetryAtMs: 0,
    sentAtMs: 0,
    sentMembersVersion: 0,
    sentIndexesVersion: 0,
    sentMemberCount: 0,
    mustSendMembers: false,
    fallbackCursor: undefined,
    preferredRetryCount: 0,
    leader: undefined,
    failedLeader: undefined,
    committed: { term: 0, index: 0 },
    receivedAtMs: 0,
    hasAnswered: false,
    extendedAtMs: 0,
    hasExtended: false,
    lease: expiredLease(),
    refused: false,
  };
}
