/**
 * @file A hollow control machine: the real decision step with consensus, over the hollow network and a
 * disk in memory.
 */
import { match } from 'ts-pattern';
import { formatAddress, type Address } from '../../../shared/common/address.js';
import type { RecoveredState, PersistEffect } from '../../../shared/consensus/persisted-state.js';
import type { CommandEntry, CommandOutcome } from '../../../managed/control/commands.js';
import {
  controlStep,
  createControlState,
  isLeader,
  type ControlEffect,
  type ControlEvent,
  type ControlState,
  type RequestId,
} from '../../../managed/control/control-step.js';
import type { PeerEnvelope } from '../../../managed/control/peer-messages.js';
import type { BalancerToControlMessage } from '../../../managed/dissemination/link-messages.js';
import { TOKEN_KEY_LENGTH_BYTES } from '../../../managed/flow/token.js';
import { HOLLOW_START_MS } from './first-state.js';
import { HollowDisk } from './hollow-disk.js';
import { HollowLink, type LinkClient, type LinkServerEnd } from './hollow-link.js';
import type { HollowRole } from './meter.js';
import type { Place } from './places.js';
import { contextOf, type HollowSurroundings } from './surroundings.js';
import type { WireMessage } from './wire.js';

/** As the daemon's. */
const TICK_INTERVAL_MS = 20;
/** How long a synced write takes, in milliseconds. */
const SYNC_MS = 2;
const OPERATOR_PORT = 8_000;

/** What a hollow control machine is made of. */
export interface HollowControlOptions {
  readonly nodeId: string;
  readonly place: Place;
  readonly linkAddress: Address;
  readonly clusterKey: string;
  readonly disk: RecoveredState;
}

/** One hollow control machine. */
export class HollowControl implements LinkServerEnd {
  readonly nodeId: string;
  readonly place: Place;
  state: ControlState;
  isUp = false;
  private readonly disk: HollowDisk;
  private readonly links = new Map<number, HollowLink>();
  private readonly waiting = new Map<RequestId, (outcome: CommandOutcome) => void>();
  private nextLinkId = 1;
  private nextRequestId = 1;
  private generation = 0;

  constructor(
    private readonly surroundings: HollowSurroundings,
    private readonly options: HollowControlOptions,
  ) {
    this.nodeId = options.nodeId;
    this.place = options.place;
    this.disk = new HollowDisk(options.disk);
    this.state = this.newState();
  }

  /** What this machine does at present. */
  get role(): HollowRole {
    return isLeader(this.state) ? 'leader' : 'follower';
  }

  /** Starts the process from what is on its disk. */
  start(): void {
    this.state = this.newState();
    this.isUp = true;
    this.generation += 1;
    const { generation } = this;
    const { queue, random } = this.surroundings;
    queue.every(random.nextFloat() * TICK_INTERVAL_MS, TICK_INTERVAL_MS, () => {
      const goesOn = this.isUp && this.generation === generation;
      if (goesOn) {
        this.tick();
      }
      return goesOn;
    });
  }

  /** Ends the process at once; what was written stays. */
  kill(): void {
    this.isUp = false;
    this.waiting.clear();
    this.links.forEach((link) => link.closeFromServer());
    this.links.clear();
  }

  /** Puts a command into the log. */
  propose(entry: CommandEntry, onOutcome: (outcome: CommandOutcome) => void): void {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    this.waiting.set(requestId, onOutcome);
    this.step({ type: 'propose', requestId, entry });
  }

  /** A balancer connects. */
  acceptLink(client: LinkClient): HollowLink {
    const linkId = this.nextLinkId;
    this.nextLinkId += 1;
    const link = new HollowLink(this.surroundings, client, this, linkId);
    this.links.set(linkId, link);
    return link;
  }

  /** Takes a message of a balancer. */
  receiveFromClient(link: HollowLink, wire: WireMessage): void {
    if (!this.links.has(link.serverLinkId)) {
      return;
    }
    this.surroundings.meter.countReceived(this.role, wire);
    this.step({
      type: 'link-message',
      linkId: link.serverLinkId,
      message: wire.decoded as BalancerToControlMessage,
    });
  }

  /** The other end closed the link. */
  clientClosed(link: HollowLink): void {
    if (this.links.delete(link.serverLinkId) && this.isUp) {
      this.step({ type: 'link-closed', linkId: link.serverLinkId });
    }
  }

  private newState(): ControlState {
    const { nodeId, clusterKey, linkAddress } = this.options;
    const operatorAddress = { host: linkAddress.host, port: OPERATOR_PORT };
    const recovered = this.disk.recover();
    return createControlState({
      nodeId,
      clusterKey,
      linkAddress,
      operatorAddress,
      peers: [],
      recovered,
    });
  }

  private tick(): void {
    const { queue, random, meter } = this.surroundings;
    const freshSecret = Uint8Array.from({ length: TOKEN_KEY_LENGTH_BYTES }, () =>
      random.nextInt(256),
    );
    meter.of(this.role).ticks += 1;
    this.step({ type: 'tick', wallTimeMs: HOLLOW_START_MS + queue.nowMs, freshSecret });
  }

  private step(event: ControlEvent): void {
    const startMs = performance.now();
    const effects = controlStep(this.state, event, contextOf(this.surroundings));
    this.surroundings.meter.of(this.role).stepMs += performance.now() - startMs;
    effects.forEach((effect) => this.perform(effect));
  }

  private perform(effect: ControlEffect): void {
    match(effect)
      .with({ type: 'link-send' }, ({ linkId, message }) =>
        this.links.get(linkId)?.toClient(message),
      )
      .with({ type: 'persist' }, { type: 'persist-snapshot' }, (write) => this.persist(write))
      .with({ type: 'peer-send' }, ({ address, envelope }) => this.sendToPeer(address, envelope))
      .with({ type: 'operator-reply' }, ({ requestId, outcome }) => {
        this.waiting.get(requestId)?.(outcome);
        this.waiting.delete(requestId);
      })
      .with({ type: 'query-reply' }, { type: 'role-changed' }, () => undefined)
      .exhaustive();
  }

  private persist(effect: PersistEffect): void {
    const { generation } = this;
    this.surroundings.queue.after(SYNC_MS, () => {
      if (this.isUp && this.generation === generation) {
        this.disk.write(effect);
        this.step({ type: 'persisted', writeId: effect.writeId });
      }
    });
  }

  private sendToPeer(address: Address, envelope: PeerEnvelope): void {
    const { wire, meter, queue, network, controlsByAddress } = this.surroundings;
    const peer = controlsByAddress.get(formatAddress(address));
    const passed = wire.pass(envelope, `consensus-${envelope.message.type}`);
    meter.countSent(this.role, passed);
    if (peer === undefined) {
      return;
    }
    queue.after(network.delayMs(this.place, peer.place), () => {
      if (peer.isUp && network.connectsNodes(this, peer)) {
        meter.countReceived(peer.role, passed);
        peer.step({ type: 'peer-message', envelope: passed.decoded as PeerEnvelope });
      }
    });
  }
}
