/**
 * @file A balancer's link to a control machine: subscribes, hands updates over, acknowledges, and
 * links to the next machine when one fails.
 */
import type { Address } from '../common/address.js';
import { formatAddress } from '../common/address.js';
import type { Logger } from '../common/logger.js';
import type { ConfigPosition, ConfigUpdate } from '../control/config-update.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../control/link-messages.js';
import { connectLink, type MessageLink } from './message-link.js';

const RECONNECT_DELAY_MS = 200;

/** What the client needs of its balancer. */
export interface ControlClientOptions {
  readonly controlAddresses: readonly Address[];
  readonly clusterKey: string;
  readonly balancerId: string;
  readonly zone: string;
  /** The position in force. */
  position(): ConfigPosition;
  /** Takes an update. */
  onUpdate(update: ConfigUpdate): void;
  readonly logger: Logger;
}

/** Keeps one link to some control machine. */
export class ControlClient {
  private link: MessageLink | undefined;
  private nextAddress = 0;
  private stopped = false;

  constructor(private readonly options: ControlClientOptions) {}

  /** Links to the first control machine. */
  start(): void {
    const { controlAddresses } = this.options;
    const address = controlAddresses[this.nextAddress % controlAddresses.length];
    if (this.stopped || address === undefined) {
      return;
    }
    this.nextAddress += 1;
    this.link = connectLink(address, {
      onMessage: (message) => this.handle(message as ControlToBalancerMessage),
      onClose: () => this.reconnect(address),
    });
    this.sendSubscribe();
  }

  /** Closes the link. */
  stop(): void {
    this.stopped = true;
    this.link?.close();
  }

  private reconnect(address: Address): void {
    if (!this.stopped) {
      this.options.logger.debug(`Link to ${formatAddress(address)} is closed.`);
      setTimeout(() => this.start(), RECONNECT_DELAY_MS);
    }
  }

  private sendSubscribe(): void {
    const { clusterKey, balancerId, zone } = this.options;
    const position = this.options.position();
    this.send({ type: 'subscribe', clusterKey, balancerId, zone, position });
  }

  private handle(message: ControlToBalancerMessage): void {
    if (message.type === 'update') {
      this.options.onUpdate(message.update);
      this.send({ type: 'acknowledge', position: this.options.position() });
    } else if (message.type === 'heartbeat') {
      if (message.committed.index > this.options.position().index) {
        this.sendSubscribe();
      }
    } else {
      this.options.logger.error('The control machine refused the link: wrong cluster.');
    }
  }

  private send(message: BalancerToControlMessage): void {
    this.link?.send(message);
  }
}
