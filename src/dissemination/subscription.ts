/**
 * @file A balancer's subscription to the configuration, as decision steps: one link to some control
 * machine, the next one when it fails.
 */
import { match } from 'ts-pattern';
import type { Address } from '../common/address.js';
import type { ConfigPosition, ConfigUpdate } from '../control/config-update.js';
import type { BalancerToControlMessage, ControlToBalancerMessage } from './link-messages.js';

/** Time before a link is opened again, in milliseconds. */
const RECONNECT_DELAY_MS = 200;

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
  reconnectAtMs: number;
  /** The highest committed position that was heard of. */
  committed: ConfigPosition;
  /** When a message last came from a control machine. */
  heardAtMs: number;
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
    reconnectAtMs: 0,
    committed: { term: 0, index: 0 },
    heardAtMs: 0,
    refused: false,
  };
}

/**
 * Opens a link where none stands and it is time.
 */
export function subscriptionTick(state: SubscriptionState, nowMs: number): SubscriptionEffect[] {
  const { controlAddresses } = state.options;
  if (state.linked || nowMs < state.reconnectAtMs || state.refused) {
    return [];
  }
  const address = controlAddresses[state.linkId % controlAddresses.length];
  if (address === undefined) {
    return [];
  }
  state.linkId += 1;
  state.linked = true;
  return [{ type: 'link-open', linkId: state.linkId, address }];
}

/**
 * The link stands: subscribes from the position in force.
 */
export function handleLinkOpened(
  state: SubscriptionState,
  linkId: number,
  position: ConfigPosition,
): SubscriptionEffect[] {
  return linkId === state.linkId ? [subscribeEffect(state, position)] : [];
}

/**
 * The link is closed: another one is opened later.
 */
export function handleLinkClosed(state: SubscriptionState, linkId: number, nowMs: number): void {
  if (linkId === state.linkId) {
    state.linked = false;
    state.reconnectAtMs = nowMs + RECONNECT_DELAY_MS;
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
    .with({ type: 'heartbeat' }, ({ committed }): SubscriptionReaction => {
      state.committed = committed;
      const lags = committed.index > position.index;
      return { effects: lags ? [subscribeEffect(state, position)] : [] };
    })
    .with({ type: 'link-refused' }, (): SubscriptionReaction => {
      state.refused = true;
      return { effects: [] };
    })
    .exhaustive();
}

/**
 * @returns the message that tells the control machine what is in force
 */
export function acknowledge(
  state: SubscriptionState,
  position: ConfigPosition,
): SubscriptionEffect[] {
  const message: BalancerToControlMessage = { type: 'acknowledge', position };
  return state.linked ? [{ type: 'link-send', linkId: state.linkId, message }] : [];
}

function subscribeEffect(state: SubscriptionState, position: ConfigPosition): SubscriptionEffect {
  const { clusterKey, balancerId, zone } = state.options;
  return {
    type: 'link-send',
    linkId: state.linkId,
    message: { type: 'subscribe', clusterKey, balancerId, zone, position },
  };
}
