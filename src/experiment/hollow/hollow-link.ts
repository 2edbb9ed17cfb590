/**
 * @file A link between a hollow balancer and a hollow control machine, as TCP gives it: in order, and
 * silent while the network between them is cut.
 */
import type { ControlToBalancerMessage } from '../../dissemination/link-messages.js';
import type { HollowBalancer } from './hollow-balancer.js';
import type { HollowControl } from './hollow-control.js';
import type { HollowSurroundings } from './surroundings.js';
import type { WireMessage } from './wire.js';

/** How long after the network is whole again both ends notice that a link was cut. */
const RESET_DELAY_MS = 1_000;

/** One link. */
export class HollowLink {
  private isOpen = true;
  private isBroken = false;

  constructor(
    private readonly surroundings: HollowSurroundings,
    readonly balancer: HollowBalancer,
    readonly balancerLinkId: number,
    readonly control: HollowControl,
    readonly controlLinkId: number,
  ) {}

  /** Carries a message of the balancer. */
  toControl(message: object, kind: string): void {
    const { wire, meter } = this.surroundings;
    const passed = wire.pass(message, kind);
    meter.of('balancer').stepMs += passed.encodeMs;
    meter.countSent('balancer', kind, passed.bytes);
    this.carry(() => this.control.receive(this, passed));
  }

  /** Carries a message of the control machine. */
  toBalancer(message: ControlToBalancerMessage): void {
    const { meter } = this.surroundings;
    const passed = this.passToBalancer(message);
    meter.of(this.control.role).stepMs += passed.encodeMs;
    meter.countSent(this.control.role, passed.kind, passed.bytes);
    this.carry(() => this.balancer.receive(this, passed));
  }

  /** Closes the link; the other end hears of it after the delay. */
  closeFrom(end: 'balancer' | 'control'): void {
    if (!this.isOpen) {
      return;
    }
    this.isOpen = false;
    const other = end === 'balancer' ? this.control : this.balancer;
    this.surroundings.queue.after(this.delayMs(), () => other.linkClosed(this));
  }

  private passToBalancer(message: ControlToBalancerMessage): WireMessage {
    const { wire } = this.surroundings;
    if (message.type !== 'update') {
      return wire.pass(message, message.type, message);
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
        this.closeFrom('balancer');
        this.balancer.linkClosed(this);
      }
      return this.isOpen;
    });
  }

  private connects(): boolean {
    const { network } = this.surroundings;
    return (
      network.connects(this.balancer.place, this.control.place) &&
      !network.isCutOff(this.control.nodeId) &&
      !network.isCutOff(this.balancer.nodeId)
    );
  }

  private delayMs(): number {
    return this.surroundings.network.delayMs(this.balancer.place, this.control.place);
  }
}
