/**
 * @file Sends the configuration to the balancers that are linked to this control machine, and
 * gathers what each of them has in force.
 */
import type { Logger } from '../common/logger.js';
import type { ClusterState } from '../control/cluster-state.js';
import {
  snapshotOf,
  type ConfigChange,
  type ConfigDelta,
  type ConfigPosition,
} from '../control/config-update.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../control/link-messages.js';
import type { LinkHandlers, MessageLink } from './message-link.js';

const MAX_KEPT_DELTAS = 1_000;

/** A balancer that is linked here. */
export interface SubscriberView {
  readonly balancerId: string;
  readonly zone: string;
  acknowledged: ConfigPosition;
}

/** Keeps balancers up to date. */
export class ConfigPublisher implements LinkHandlers {
  private readonly subscribers = new Map<MessageLink, SubscriberView>();
  private readonly deltas: ConfigDelta[] = [];

  constructor(
    private readonly state: ClusterState,
    private readonly clusterKey: string,
    private readonly logger: Logger,
  ) {}

  /** Called for each committed entry; sends its changes to all subscribers. */
  publish(position: ConfigPosition, changes: readonly ConfigChange[]): void {
    const from = { term: position.term, index: position.index - 1 };
    const delta: ConfigDelta = { type: 'delta', from, to: position, changes };
    this.deltas.push(delta);
    if (this.deltas.length > MAX_KEPT_DELTAS) {
      this.deltas.shift();
    }
    for (const link of this.subscribers.keys()) {
      sendTo(link, { type: 'update', update: delta });
    }
  }

  /** The balancers linked now. */
  subscriberViews(): SubscriberView[] {
    return [...this.subscribers.values()];
  }

  /** Tells all subscribers the committed position. */
  sendHeartbeats(): void {
    const committed = this.committed();
    for (const link of this.subscribers.keys()) {
      sendTo(link, { type: 'heartbeat', committed });
    }
  }

  onMessage(message: unknown, link: MessageLink): void {
    const received = message as BalancerToControlMessage;
    if (received.type === 'subscribe') {
      this.subscribe(received, link);
      return;
    }
    const subscriber = this.subscribers.get(link);
    if (subscriber !== undefined) {
      subscriber.acknowledged = received.position;
    }
  }

  onClose(link: MessageLink): void {
    const subscriber = this.subscribers.get(link);
    if (subscriber !== undefined) {
      this.logger.info(`Balancer ${subscriber.balancerId} is unlinked.`);
    }
    this.subscribers.delete(link);
  }

  private subscribe(
    message: Extract<BalancerToControlMessage, { type: 'subscribe' }>,
    link: MessageLink,
  ): void {
    if (message.clusterKey !== this.clusterKey) {
      this.logger.warn(`Balancer ${message.balancerId} has another cluster's key.`);
      sendTo(link, { type: 'link-refused', kind: 'wrong-cluster' });
      return;
    }
    const { balancerId, zone, position } = message;
    this.subscribers.set(link, { balancerId, zone, acknowledged: position });
    this.logger.info(`Balancer ${balancerId} is linked at index ${position.index}.`);
    this.catchUp(link, position);
  }

  private catchUp(link: MessageLink, position: ConfigPosition): void {
    const missing = this.deltas.filter((delta) => delta.to.index > position.index);
    const oldest = missing[0];
    if (position.index > 0 && (oldest === undefined || oldest.from.index === position.index)) {
      missing.forEach((update) => sendTo(link, { type: 'update', update }));
      return;
    }
    const update = snapshotOf(this.state.routing, this.committed());
    sendTo(link, { type: 'update', update });
  }

  private committed(): ConfigPosition {
    return { term: this.state.term, index: this.state.index };
  }
}

function sendTo(link: MessageLink, message: ControlToBalancerMessage): void {
  link.send(message);
}
