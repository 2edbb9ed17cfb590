/**
 * @file A link from a hollow balancer to the node that it gets the configuration from, as TCP gives it:
 * in order, and silent while the network between them is cut.
 */
import type { ControlToBalancerMessage } from '../../../managed/dissemination/link-messages.js';
import type { HollowRole } from './meter.js';
import type { Place } from './places.js';
import type { HollowSurroundings } from './surroundings.js';
import type { WireMessage } from './wire.js';

/** How long after the network is whole again both ends notice that a link was cut. */
const RESET_DELAY_MS = 1_000;

/** One end of a link. */
export interface LinkEnd {
  readonly nodeId: string;
  readonly place: Place;
  readonly role: HollowRole;
}

/** The end that opens links. */
export interface LinkClient extends LinkEnd {
  receiveFromServer(link: HollowLink, wire: WireMessage): void;
  serverClosed(link: HollowLink): void;
}

/** The end that takes links and passes the configuration on. */
export interface LinkServerEnd extends LinkEnd {
  readonly isUp: boolean;
  acceptLink(client: LinkClient): HollowLink;
  receiveFromClient(link: HollowLink, wire: WireMessage): void;
  clientClosed(link: HollowLink): void;
}

/** One link. */
export class HollowLink {
  private isOpen = true;
  private isBroken = false;

  constructor(
    private readonly surroundings: HollowSurroundings,
    readonly client: LinkClient,
    readonly server: LinkServerEnd,
    /** Names the link at the server. */
    readonly serverLinkId: number,
  ) {}

  /** Carries a message of the client. */
  toServer(message: object, kind: string): void {
    const passed = this.surroundings.wire.pass(message, kind);
    this.surroundings.meter.countSent(this.client.role, passed);
    this.carry(() => this.server.receiveFromClient(this, passed));
  }

  /** Carries a message of the server. */
  toClient(message: ControlToBalancerMessage): void {
    const passed = this.passToClient(message);
    this.surroundings.meter.countSent(this.server.role, passed);
    this.carry(() => this.client.receiveFromServer(this, passed));
  }

  /** The client closes the link; the server hears of it after the delay. */
  closeFromClient(): void {
    this.close(() => this.server.clientClosed(this));
  }

  /** The server closes the link; the client hears of it after the delay. */
  closeFromServer(): void {
    this.close(() => this.client.serverClosed(this));
  }

  private close(tellOther: () => void): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.surroundings.queue.after(this.delayMs(), tellOther);
    }
  }

  private passToClient(message: ControlToBalancerMessage): WireMessage {
    const { wire } = this.surroundings;
    if (message.type !== 'update') {
      return wire.pass(message, message.type);
    }
    return message.update.type === 'snapshot'
      ? wire.passSnapshot(message, message.update.to.index)
      : wire.pass(message, 'config-delta', message.update);
  }

  private carry(deliver: () => void): void {
    if (!this.isOpen || this.isBroken) {
      return;
    }
    if (!this.connects()) {
      this.isBroken = true;
      this.resetOnceWhole();
      return;
    }
    this.surroundings.queue.after(this.delayMs(), () => {
      if (this.isOpen && this.connects()) {
        deliver();
      }
    });
  }

  private resetOnceWhole(): void {
    this.surroundings.queue.every(RESET_DELAY_MS, RESET_DELAY_MS, () => {
      if (this.isOpen && this.connects()) {
        this.closeFromClient();
        this.client.serverClosed(this);
      }
      return this.isOpen;
    });
  }

  private connects(): boolean {
    return this.surroundings.network.connectsNodes(this.client, this.server);
  }

  private delayMs(): number {
    return this.surroundings.network.delayMs(this.client.place, this.server.place);
  }
}
