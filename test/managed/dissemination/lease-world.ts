/**
 * @file Simulates control machines and balancers on a virtual clock, with link failures, paused processes and clock
 * drift.
 */
import type { ConfigPosition } from '../../../src/managed/control/config-delta.js';
import { emptyRoutingConfig } from '../../../src/managed/control/routing-config.js';
import { isLeaseHeld } from '../../../src/managed/dissemination/lease.js';
import {
  createLeaseAuthority,
  leaseAuthorityTick,
  applyConfirmation,
  type LeaseAuthority,
} from '../../../src/managed/dissemination/lease-authority.js';
import {
  createPublisher,
  disseminationStatus,
  handleSubscriberDisconnected,
  handleSubscriberMessage,
  publishChanges,
  skipToPosition,
  type LinkSendEffect,
  type PublisherState,
} from '../../../src/managed/dissemination/publisher.js';
import {
  handleControlMessage,
  handleLinkOpened,
  subscriptionTick,
} from '../../../src/managed/dissemination/subscription.js';
import { acknowledge } from '../../../src/managed/dissemination/upstream-report.js';
import { handleLinkClosed } from '../../../src/managed/dissemination/link-selection.js';
import {
  createSubscription,
  type SubscriptionEffect,
  type SubscriptionState,
} from '../../../src/managed/dissemination/subscription-state.js';

const TICK_MS = 50;
const HOP_MS = 1;
const KEY = 'test-cluster-key';

/** A control machine; only the leader reaches a quorum. */
export interface Control {
  readonly publisher: PublisherState;
  readonly authority: LeaseAuthority;
  readonly port: number;
  term: number;
  /** True while it considers itself the leader; a deposed leader may not have noticed its successor. */
  isLeading: boolean;
}

function createControl(port: number): Control {
  const authority = createLeaseAuthority();
  const publisher = createPublisher(KEY, { type: 'authority', authority });
  return { publisher, authority, port, term: 0, isLeading: false };
}

/** A balancer with its own clock. */
export interface Balancer {
  readonly subscription: SubscriptionState;
  position: ConfigPosition;
  /** Rate of its clock; 1 is exact. */
  readonly clockRate: number;
  isPaused: boolean;
  /** Ports of the control machines that it can't reach. */
  readonly unreachablePorts: Set<number>;
  /** Deliveries received while paused. */
  readonly inbox: (() => void)[];
}

interface Link {
  readonly balancer: Balancer;
  readonly control: Control;
  /** The balancer's ID of the link. */
  readonly linkId: number;
}

interface Action {
  readonly atMs: number;
  readonly run: () => void;
}

/** Runs the machines; the first control machine is the initial leader. */
export class LeaseWorld {
  nowMs = 0;
  committed: ConfigPosition = { term: 1, index: 1 };
  readonly controls: Control[];
  readonly balancers: Balancer[];
  private leader: Control | undefined;
  private readonly links = new Map<number, Link>();
  private nextLink = 1;
  private actions: Action[] = [];

  constructor(clockRates: readonly number[], controlCount = 2) {
    this.controls = Array.from({ length: controlCount }, (_, number) => createControl(number + 1));
    const controlAddresses = this.controls.map(({ port }) => ({ host: '10.0.0.1', port }));
    this.balancers = clockRates.map((clockRate, number) => ({
      subscription: createSubscription({
        controlAddresses,
        clusterKey: KEY,
        balancerId: `balancer-${number}`,
        zone: 'zone-a',
      }),
      position: { term: 0, index: 0 },
      clockRate,
      isPaused: false,
      unreachablePorts: new Set(),
      inbox: [],
    }));
    this.elect(0);
  }

  /** Elects a machine; the previous leader may continue to act as leader. */
  elect(number: number, previousStepsDown = true): void {
    if (this.leader !== undefined && previousStepsDown) {
      this.leader.isLeading = false;
    }
    this.leader = this.controls[number];
    if (this.leader !== undefined) {
      skipToPosition(this.leader.publisher, this.committed);
      this.leader.isLeading = true;
      this.leader.term = this.committed.term + 1;
      this.commit(this.leader.term);
    }
  }

  /** Commits an entry; a deposed leader that has not stepped down does not receive it. */
  commit(term = this.committed.term): void {
    this.committed = { term, index: this.committed.index + 1 };
    for (const control of this.controls) {
      if (!control.isLeading || control === this.leader) {
        this.sendAll(control, publishChanges(control.publisher, this.committed, []));
      }
    }
  }

  /** The log index up to which the leader may release addresses. */
  get fencedIndex(): number {
    return this.leader === undefined ? 0 : this.status(this.leader).fencedIndex;
  }

  get inForceIndex(): number {
    return this.leader === undefined ? 0 : this.status(this.leader).inForceIndex;
  }

  balancer(number: number): Balancer {
    const balancer = this.balancers[number];
    if (balancer === undefined) {
      throw new Error(`Balancer ${number} does not exist.`);
    }
    return balancer;
  }

  holdsLease(balancer: Balancer): boolean {
    return isLeaseHeld(balancer.subscription.lease, this.clockOf(balancer));
  }

  cut(balancer: Balancer, ports: readonly number[]): void {
    ports.forEach((port) => balancer.unreachablePorts.add(port));
  }

  heal(balancer: Balancer): void {
    balancer.unreachablePorts.clear();
  }

  resume(balancer: Balancer): void {
    balancer.isPaused = false;
    balancer.inbox.splice(0).forEach((run) => run());
  }

  run(durationMs: number, check: () => void = () => undefined): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      this.deliver();
      this.controls.forEach((control) => this.tickControl(control));
      this.balancers.forEach((balancer) => this.tickBalancer(balancer));
      check();
    }
  }

  private status(control: Control) {
    return disseminationStatus(control.publisher, control.authority, this.nowMs);
  }

  private clockOf(balancer: Balancer): number {
    return 5_000_000 + this.nowMs * balancer.clockRate;
  }

  private deliver(): void {
    const due = this.actions.filter(({ atMs }) => atMs <= this.nowMs);
    this.actions = this.actions.filter(({ atMs }) => atMs > this.nowMs);
    due.forEach(({ run }) => run());
  }

  private tickControl(control: Control): void {
    const { publisher, authority, term, isLeading } = control;
    const hasQuorum = control === this.leader;
    publisher.leader =
      this.leader === undefined || isLeading
        ? undefined
        : { host: '10.0.0.1', port: this.leader.port };
    const readId = leaseAuthorityTick(authority, {
      isLeading,
      term,
      commitIndex: publisher.committed.index,
      nowMs: this.nowMs,
    });
    if (readId !== undefined && hasQuorum) {
      applyConfirmation(authority, readId);
    }
  }

  private tickBalancer(balancer: Balancer): void {
    if (!balancer.isPaused) {
      const { subscription, position } = balancer;
      this.perform(balancer, subscriptionTick(subscription, { position }, this.clockOf(balancer)));
    }
  }

  private perform(balancer: Balancer, effects: readonly SubscriptionEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'link-open') {
        this.openLink(balancer, effect.linkId, effect.address.port);
      } else {
        this.sendUp(balancer, effect);
      }
    }
  }

  private openLink(balancer: Balancer, linkId: number, port: number): void {
    const control = this.controls.find((candidate) => candidate.port === port);
    if (control === undefined || balancer.unreachablePorts.has(port)) {
      handleLinkClosed(balancer.subscription, linkId, this.clockOf(balancer));
      return;
    }
    for (const [id, link] of this.links) {
      if (link.balancer === balancer) {
        this.links.delete(id);
        handleSubscriberDisconnected(link.control.publisher, id);
      }
    }
    this.links.set(this.nextLink, { balancer, control, linkId });
    this.nextLink += 1;
    const now = this.clockOf(balancer);
    const { subscription, position } = balancer;
    this.perform(balancer, handleLinkOpened(subscription, linkId, { position }, now));
  }

  private sendUp(balancer: Balancer, effect: Extract<SubscriptionEffect, { type: 'link-send' }>) {
    for (const [id, { control, linkId, balancer: owner }] of this.links) {
      if (
        owner === balancer &&
        linkId === effect.linkId &&
        !balancer.unreachablePorts.has(control.port)
      ) {
        this.after(() => {
          const { publisher } = control;
          const config = emptyRoutingConfig();
          const { message } = effect;
          const sends = handleSubscriberMessage(publisher, id, message, config, this.nowMs);
          this.sendAll(control, sends);
        });
      }
    }
  }

  private sendAll(control: Control, effects: readonly LinkSendEffect[]): void {
    for (const effect of effects) {
      const link = this.links.get(effect.linkId);
      if (link !== undefined && !link.balancer.unreachablePorts.has(control.port)) {
        this.after(() => this.receive(link, effect));
      }
    }
  }

  private receive(link: Link, effect: LinkSendEffect): void {
    const { balancer, linkId } = link;
    if (balancer.isPaused) {
      balancer.inbox.push(() => this.receive(link, effect));
      return;
    }
    const now = this.clockOf(balancer);
    const { subscription, position } = balancer;
    const reaction = handleControlMessage(subscription, linkId, effect.message, { position }, now);
    this.perform(balancer, reaction.effects);
    const { update } = reaction;
    if (update === undefined) {
      return;
    }
    const follows = update.type === 'snapshot' || update.from.index === balancer.position.index;
    if (follows && update.to.index > balancer.position.index) {
      balancer.position = update.to;
    }
    this.perform(balancer, acknowledge(subscription, { position: balancer.position }, now));
  }

  private after(run: () => void): void {
    this.actions.push({ atMs: this.nowMs + HOP_MS, run });
  }
}
