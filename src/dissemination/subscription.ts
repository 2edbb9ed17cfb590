/**
 * @file A balancer's subscription to the configuration, as decision steps: one link to some control
 * machine, the next one when it fails.
 */
import { match } from 'ts-pattern';
import { formatAddress, type Address } from '../common/address.js';
import type { ConfigPosition, ConfigUpdate } from '../control/config-update.js';
import { expiredLease, takeGrant, type Lease } from './lease.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
  HeartbeatMessage,
} from './link-messages.js';

/** Time before a link is opened again, in milliseconds. */
const RECONNECT_DELAY_MS = 200;
/** Time between two requests to extend the lease, in milliseconds; five fall into one lease. */
const RENEW_INTERVAL_MS = 2_000;
/** A link that brings nothing for this time is given up, in milliseconds. */
const SILENCE_LIMIT_MS = 5_000;
/** How long a leader whose link failed is not tried again, in milliseconds. */
const LEADER_RETRY_INTERVAL_MS = 5_000;

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
  /** Number of the link in use or being opened; messages of an earlier link are ignored. */
  linkId: number;
  linked: boolean;
  /** The other end of the link in use or being opened. */
  address: Address | undefined;
  reconnectAtMs: number;
  /** When the next request to extend the lease is due. */
  renewAtMs: number;
  /** Counts the links that were opened to `controlAddresses`, in turn. */
  nextControl: number;
  /** Where the leader is, as a machine that does not lead told. */
  leader: Address | undefined;
  /** The leader whose link failed last, and until when it is not tried again. */
  failedLeader: { readonly address: Address; readonly untilMs: number } | undefined;
  /** The highest committed position that was heard of. */
  committed: ConfigPosition;
  /** When a message last came from a control machine, or the link was opened. */
  heardAtMs: number;
  readonly lease: Lease;
  /** True once a control machine refused this balancer: it belongs to another cluster. */
  refused: boolean;
}

/** What a subscription asks of its surroundings. */
export type SubscriptionEffect =
  | { readonly type: 'link-open'; readonly linkId: number; readonly address: Address }
  | {
      readonly type: 'link-send';
      readonly linkId: number;
      readonly message: BalancerToControlMessage;
    };

/** What a message from a control machine leads to. */
export interface SubscriptionReaction {
  /** An update that the balancer should apply before the effects are performed. */
  readonly update?: ConfigUpdate;
  readonly effects: SubscriptionEffect[];
}

/**
 * @returns a subscription that links at its first tick
 */
export function createSubscription(options: SubscriptionOptions): SubscriptionState {
  return {
    options,
    linkId: 0,
    linked: false,
    address: undefined,
    reconnectAtMs: 0,
    renewAtMs: 0,
    nextControl: 0,
    leader: undefined,
    failedLeader: undefined,
    committed: { term: 0, index: 0 },
    heardAtMs: 0,
    lease: expiredLease(),
    refused: false,
  };
}

/**
 * Opens a link where none stands and it is time; gives up a silent one; asks to extend the lease.
 * @param position the position in force
 */
export function subscriptionTick(
  state: SubscriptionState,
  position: ConfigPosition,
  nowMs: number,
): SubscriptionEffect[] {
  if (state.linked && nowMs - state.heardAtMs > SILENCE_LIMIT_MS) {
    handleLinkClosed(state, state.linkId, nowMs);
  }
  if (state.linked) {
    return nowMs >= state.renewAtMs ? acknowledge(state, position, nowMs) : [];
  }
  return nowMs < state.reconnectAtMs || state.refused ? [] : openLink(state, nowMs);
}

function openLink(state: SubscriptionState, nowMs: number): SubscriptionEffect[] {
  const address = nextAddress(state);
  if (address === undefined) {
    return [];
  }
  state.linkId += 1;
  state.linked = true;
  state.address = address;
  state.heardAtMs = nowMs;
  return [{ type: 'link-open', linkId: state.linkId, address }];
}

/** The leader where it is known, else the control machines in turn. */
function nextAddress(state: SubscriptionState): Address | undefined {
  const { leader, options } = state;
  if (leader !== undefined) {
    return leader;
  }
  const address = options.controlAddresses[state.nextControl % options.controlAddresses.length];
  state.nextControl += 1;
  return address;
}

/**
 * The link stands: subscribes from the position in force.
 */
export function handleLinkOpened(
  state: SubscriptionState,
  linkId: number,
  position: ConfigPosition,
  nowMs: number,
): SubscriptionEffect[] {
  return linkId === state.linkId ? [subscribeEffect(state, position, nowMs)] : [];
}

/**
 * The link is closed: another one is opened later.
 */
export function handleLinkClosed(state: SubscriptionState, linkId: number, nowMs: number): void {
  if (linkId !== state.linkId || !state.linked) {
    return;
  }
  state.linked = false;
  state.reconnectAtMs = nowMs + RECONNECT_DELAY_MS;
  if (state.leader !== undefined) {
    state.failedLeader = { address: state.leader, untilMs: nowMs + LEADER_RETRY_INTERVAL_MS };
    state.leader = undefined;
  }
}

/**
 * Takes a message of a control machine.
 * @param position the position in force
 */
export function handleControlMessage(
  state: SubscriptionState,
  linkId: number,
  message: ControlToBalancerMessage,
  position: ConfigPosition,
  nowMs: number,
): SubscriptionReaction {
  if (linkId !== state.linkId) {
    return { effects: [] };
  }
  state.heardAtMs = nowMs;
  return match(message)
    .with({ type: 'update' }, ({ update }): SubscriptionReaction => ({ update, effects: [] }))
    .with({ type: 'heartbeat' }, (heartbeat): SubscriptionReaction => ({
      effects: takeHeartbeat(state, heartbeat, position, nowMs),
    }))
    .with({ type: 'link-refused' }, (): SubscriptionReaction => {
      state.refused = true;
      return { effects: [] };
    })
    .exhaustive();
}

function takeHeartbeat(
  state: SubscriptionState,
  heartbeat: HeartbeatMessage,
  position: ConfigPosition,
  nowMs: number,
): SubscriptionEffect[] {
  const { committed, lease, leader } = heartbeat;
  state.committed = committed;
  if (lease !== undefined) {
    takeGrant(state.lease, lease, position.index);
  }
  if (leader !== undefined && shouldMoveTo(state, leader, nowMs)) {
    state.leader = leader;
    return openLink(state, nowMs);
  }
  return committed.index > position.index ? [subscribeEffect(state, position, nowMs)] : [];
}

/** Only a leader extends leases, so a balancer links to it where it can. */
function shouldMoveTo(state: SubscriptionState, leader: Address, nowMs: number): boolean {
  const { address, failedLeader } = state;
  const isThere = address !== undefined && sameAddress(leader, address);
  const hasFailed =
    failedLeader !== undefined &&
    nowMs < failedLeader.untilMs &&
    sameAddress(leader, failedLeader.address);
  return !isThere && !hasFailed;
}

function sameAddress(one: Address, other: Address): boolean {
  return formatAddress(one) === formatAddress(other);
}

/**
 * @returns the message that tells the control machine what is in force, and asks for a lease
 */
export function acknowledge(
  state: SubscriptionState,
  position: ConfigPosition,
  nowMs: number,
): SubscriptionEffect[] {
  if (!state.linked) {
    return [];
  }
  state.renewAtMs = nowMs + RENEW_INTERVAL_MS;
  const message: BalancerToControlMessage = { type: 'acknowledge', position, sentAtMs: nowMs };
  return [{ type: 'link-send', linkId: state.linkId, message }];
}

function subscribeEffect(
  state: SubscriptionState,
  position: ConfigPosition,
  nowMs: number,
): SubscriptionEffect {
  const { clusterKey, balancerId, zone } = state.options;
  state.renewAtMs = nowMs + RENEW_INTERVAL_MS;
  return {
    type: 'link-send',
    linkId: state.linkId,
    message: { type: 'subscribe', clusterKey, balancerId, zone, position, sentAtMs: nowMs },
  };
}
