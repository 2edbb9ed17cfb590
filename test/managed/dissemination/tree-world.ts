/**
 * @file Simulates a control machine and balancers of several zones, with their production steps, on a virtual network.
 */
import { formatAddress, type Address } from '../../../src/shared/common/address.js';
import type {
  BalancerEffect,
  BalancerEvent,
} from '../../../src/managed/balancer/balancer-events.js';
import {
  createBalancerState,
  type BalancerState,
} from '../../../src/managed/balancer/balancer-state.js';
import { defaultBalancerOptions } from '../../../src/managed/balancer/balancer-options.js';
import { balancerStep } from '../../../src/managed/balancer/balancer-step.js';
import type { ProbeResult } from '../../../src/managed/health/backend-report.js';
import { SingleControl } from '../control/single-control.js';
import { goodNetwork, VirtualNetwork } from '../flows/network.js';

const TICK_MS = 50;
const HOP_MS = 1;
const GOSSIP_PORT = 7_100;
const LINK_PORT = 7_200;
const CONTROL_ADDRESS: Address = { host: '127.0.0.1', port: 7_000 };

export interface TreeNode {
  state: BalancerState;
  readonly host: string;
  isUp: boolean;
  startedAtMs: number;
}

interface Link {
  readonly id: number;
  readonly child: TreeNode;
  readonly childLinkId: number;
  /** Undefined for the control machine. */
  readonly parent: TreeNode | undefined;
}

/** Runs the distribution tree of one control machine. */
export class TreeWorld {
  readonly control = new SingleControl();
  readonly network = new VirtualNetwork(3, goodNetwork);
  readonly nodes: TreeNode[] = [];
  isControlUp = true;
  /** Returns a back end's answer to a probe; undefined for no answer. */
  onProbe: (backendId: number) => ProbeResult | undefined = () => undefined;
  probeCount = 0;
  private readonly links = new Map<number, Link>();
  private nextLinkId = 1;
  private nextPort = 5_000;

  constructor(zoneSizes: readonly number[]) {
    this.control.run(2_000);
    this.network.runUntil(this.control.nowMs);
    this.control.onLinkSend = ({ linkId, message }) => this.sendDown(linkId, message);
    this.control.setOperator();
    this.network.every(TICK_MS, () => {
      this.control.nowMs = this.network.nowMs;
      if (this.isControlUp) {
        this.control.tick();
      }
    });
    zoneSizes.forEach((size, zone) => {
      for (let number = 0; number < size; number += 1) {
        this.start(`zone-${zone}`);
      }
    });
  }

  get committedIndex(): number {
    return this.control.state.cluster.index;
  }

  /** Number of links to the control machine. */
  get controlLinks(): number {
    return [...this.links.values()].filter(({ parent }) => parent === undefined).length;
  }

  start(zone: string): TreeNode {
    const number = this.nodes.length;
    const host = `10.0.${Math.floor(number / 250)}.${(number % 250) + 1}`;
    const state = createBalancerState({
      ...defaultBalancerOptions,
      balancerId: `balancer-${number}`,
      zone,
      controlAddresses: [CONTROL_ADDRESS],
      clusterKey: 'test-cluster-key',
      gossip: {
        host,
        gossipPort: GOSSIP_PORT,
        linkPort: LINK_PORT,
        incarnation: 1,
        seeds: this.nodes.slice(0, 3).map((node) => ({ host: node.host, port: GOSSIP_PORT })),
      },
    });
    const node = { state, host, isUp: true, startedAtMs: this.network.nowMs };
    this.nodes.push(node);
    this.network.every(TICK_MS, () => this.step(node, { type: 'tick' }));
    return node;
  }

  kill(node: TreeNode): void {
    node.isUp = false;
    for (const link of [...this.links.values()]) {
      if (link.child === node || link.parent === node) {
        this.close(link);
      }
    }
  }

  stopControl(): void {
    this.isControlUp = false;
    [...this.links.values()]
      .filter(({ parent }) => parent === undefined)
      .forEach((link) => this.close(link));
  }

  /** Commits one change of the configuration. */
  change(): void {
    this.nextPort += 1;
    this.control.define(`service-${this.nextPort}`, this.nextPort);
  }

  run(durationMs: number): void {
    this.network.runUntil(this.network.nowMs + durationMs);
  }

  /** @returns the time until the condition holds, in milliseconds; throws after the limit */
  timeUntil(condition: () => boolean, limitMs: number): number {
    const startMs = this.network.nowMs;
    while (!condition()) {
      if (this.network.nowMs - startMs > limitMs) {
        throw new Error(`The condition did not hold within ${limitMs} ms.`);
      }
      this.run(5);
    }
    return this.network.nowMs - startMs;
  }

  isInForceEverywhere(): boolean {
    return this.nodes.every(
      ({ isUp, state }) => !isUp || state.position.index === this.committedIndex,
    );
  }

  step(node: TreeNode, event: BalancerEvent): void {
    if (node.isUp) {
      const effects = balancerStep(node.state, event, this.network.context);
      effects.forEach((effect) => this.perform(node, effect));
    }
  }

  private perform(node: TreeNode, effect: BalancerEffect): void {
    if (effect.type === 'link-open') {
      this.open(node, effect.linkId, effect.address);
    } else if (effect.type === 'link-send') {
      this.sendUp(node, effect.linkId, effect.message);
    } else if (effect.type === 'peer-send') {
      this.sendDown(effect.linkId, effect.message);
    } else if (effect.type === 'probe') {
      this.probeCount += 1;
      const { id } = effect.backend;
      const result = this.onProbe(id) ?? { backendId: id, health: undefined, load: undefined };
      this.network.after(HOP_MS, () => this.step(node, { type: 'probe-result', result }));
    } else if (effect.type === 'gossip-send') {
      const { to, message } = effect;
      const from = { host: node.host, port: GOSSIP_PORT };
      const receiver = this.nodes.find(({ host }) => host === to.host);
      this.network.transmit(HOP_MS, () => {
        if (receiver !== undefined) {
          this.step(receiver, { type: 'gossip', message, from });
        }
      });
    }
  }

  private open(child: TreeNode, childLinkId: number, address: Address): void {
    [...this.links.values()]
      .filter((link) => link.child === child)
      .forEach((link) => this.close(link));
    const isControl = formatAddress(address) === formatAddress(CONTROL_ADDRESS);
    const parent = isControl ? undefined : this.nodes.find(({ host }) => host === address.host);
    const isReachable = isControl ? this.isControlUp : parent?.isUp === true;
    if (!isReachable) {
      this.network.after(HOP_MS, () =>
        this.step(child, { type: 'link-closed', linkId: childLinkId }),
      );
      return;
    }
    const id = this.nextLinkId;
    this.nextLinkId += 1;
    this.links.set(id, { id, child, childLinkId, parent });
    this.network.after(HOP_MS, () =>
      this.step(child, { type: 'link-opened', linkId: childLinkId }),
    );
  }

  private sendUp(
    child: TreeNode,
    childLinkId: number,
    message: Extract<BalancerEffect, { type: 'link-send' }>['message'],
  ): void {
    for (const link of this.links.values()) {
      if (link.child === child && link.childLinkId === childLinkId) {
        this.network.after(HOP_MS, () => this.deliverUp(link, message));
      }
    }
  }

  private deliverUp(
    link: Link,
    message: Extract<BalancerEffect, { type: 'link-send' }>['message'],
  ): void {
    if (!this.links.has(link.id)) {
      return;
    }
    if (link.parent === undefined) {
      this.control.nowMs = this.network.nowMs;
      this.control.step({ type: 'link-message', linkId: link.id, message });
    } else {
      this.step(link.parent, { type: 'peer-message', linkId: link.id, message });
    }
  }

  private sendDown(
    linkId: number,
    message: Extract<BalancerEffect, { type: 'peer-send' }>['message'],
  ): void {
    this.network.after(HOP_MS, () => {
      const link = this.links.get(linkId);
      if (link !== undefined) {
        this.step(link.child, { type: 'link-message', linkId: link.childLinkId, message });
      }
    });
  }

  private close(link: Link): void {
    this.links.delete(link.id);
    this.network.after(HOP_MS, () => {
      this.step(link.child, { type: 'link-closed', linkId: link.childLinkId });
      if (link.parent === undefined) {
        this.control.step({ type: 'link-closed', linkId: link.id });
      } else {
        this.step(link.parent, { type: 'peer-closed', linkId: link.id });
      }
    });
  }
}
