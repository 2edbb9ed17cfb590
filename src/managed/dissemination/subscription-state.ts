/**
 * @file The state of a balancer's subscription. `link-choice.ts` changes the fields of the link, `upward-report.ts` those of
 * the last report, `subscription.ts` the rest.
 */
import type { Address } from '../../shared/common/address.js';
import type { ConfigPosition } from '../control/config-delta.js';
import { expiredLease, type Lease } from './lease.js';
import type { BalancerToControlMessage } from './link-messages.js';
import type { LinkPlan } from './link-plan.js';

/** Options of a subscription. */
export interface SubscriptionOptions {
  readonly controlAddresses: readonly Address[];
  readonly clusterKey: string;
  readonly balancerId: string;
  readonly zone: string;
}

/** The state of a subscription. */
export interface SubscriptionState {
  readonly options: SubscriptionOptions;
  plan: LinkPlan;
  /** Place in the plan of the link in use or tried next; wraps around. */
  cursor: number;
  /** Places of the candidates that have failed since the lease was last extended, or all had. */
  readonly failed: Set<number>;
  /** Number of the link in use or being opened; messages of an earlier link are ignored. */
  linkId: number;
  linked: boolean;
  /** The other end of the link in use or being opened. */
  address: Address | undefined;
  reconnectAtMs: number;
  preferredRetryAtMs: number;
  /** How many times a better candidate was tried again. */
  preferredTries: number;
  /** The place of the candidate that worked, while a better one is tried again. */
  returnTo: number | undefined;
  sentAtMs: number;
  /** Versions of the reports from below that were sent last, see `SubtreeReports`. */
  sentMembersVersion: number;
  sentIndexVersion: number;
  /** How many balancers below were in the last report. */
  sentMemberCount: number;
  /** True where the other end does not know all balancers below. */
  mustSendMembers: boolean;
  /** Link address of the leader, by the last machine that does not lead. */
  leader: Address | undefined;
  /** The leader whose link failed last, and until when it is not tried again. */
  failedLeader: { readonly address: Address; readonly untilMs: number } | undefined;
  /** The committed position of the last heartbeat. */
  committed: ConfigPosition;
  /** When the last message came, or the link was opened. */
  receivedAtMs: number;
  /** True once a message has come over the link. */
  hasAnswered: boolean;
  /** When the lease was last extended, or the link was opened. */
  extendedAtMs: number;
  /** True once the lease has been extended over the link. */
  hasExtended: boolean;
  readonly lease: Lease;
  /** True where the link was refused: this balancer belongs to another cluster. */
  refused: boolean;
}

/** An effect of a subscription, for the daemon to perform. */
export type SubscriptionEffect =
  | { readonly type: 'link-open'; readonly linkId: number; readonly address: Address }
  | {
      readonly type: 'link-send';
      readonly linkId: number;
      readonly message: BalancerToControlMessage;
    };

/**
 * @returns a subscription that opens a link at its first tick
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
    failed: new Set(),
    linkId: 0,
    linked: false,
    address: undefined,
    reconnectAtMs: 0,
    preferredRetryAtMs: 0,
    sentAtMs: 0,
    sentMembersVersion: 0,
    sentIndexVersion: 0,
    sentMemberCount: 0,
    mustSendMembers: false,
    returnTo: undefined,
    preferredTries: 0,
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
