/**
 * @file A world of hollow nodes: many balancers and a few control machines in one process, which run the
 * real decision steps in virtual time over an in-memory network. One seed, one run.
 */
import { formatAddress, type Address } from '../../../shared/common/address.js';
import { seededRandom } from '../../../shared/common/random.js';
import type { RandomSource } from '../../../shared/common/step.js';
import { sortedMembership, type Member } from '../../../shared/consensus/membership.js';
import { timedCommandId } from '../../../managed/control/command-id.js';
import type { CommandOutcome, OperatorCommand } from '../../../managed/control/commands.js';
import { gossipKey } from '../../../managed/gossip/gossip-codec.js';
import { gossipAddress, linkAddress } from '../../../managed/gossip/member.js';
import { EventQueue } from './event-queue.js';
import {
  addBackendCommand,
  firstDisk,
  HOLLOW_OPERATOR,
  HOLLOW_START_MS,
  makeClusterState,
  type ConfigSize,
} from './first-state.js';
import { HollowBalancer } from './hollow-balancer.js';
import { HollowControl } from './hollow-control.js';
import { InForceTracker } from './in-force-tracker.js';
import { Meter } from './meter.js';
import { makePlaces, PlaceNetwork, type Place } from './places.js';
import { controlAddress, memberAddresses, type HollowSurroundings } from './surroundings.js';
import { Wire } from './wire.js';

const CLUSTER_KEY = 'hollow-cluster-key';
/** As the balancer daemon's. */
export const DAEMON_TICK_INTERVAL_MS = 20;

/** What a hollow world is made of. */
export interface HollowWorldOptions {
  readonly seed: number;
  readonly balancers: number;
  readonly controls: number;
  readonly regions: number;
  readonly zones: number;
  readonly config: ConfigSize;
  /** Time between two ticks of a balancer; the daemon's where absent. */
  readonly balancerTickMs?: number;
}

/** One hollow world. */
export class HollowWorld {
  readonly queue = new EventQueue();
  readonly meter = new Meter();
  readonly network: PlaceNetwork;
  readonly places: readonly Place[];
  readonly controls: readonly HollowControl[];
  readonly balancers: readonly HollowBalancer[];
  readonly tracker: InForceTracker;
  readonly random: RandomSource;
  /** Gossip addresses of all balancers: the platform's list. */
  private readonly seeds: readonly Address[];
  /** The highest index whose command was answered as accepted. */
  acceptedIndex = 0;
  /** How many commands were accepted. */
  acceptedCount = 0;
  private nextCommandNumber = 1;
  private nextBackendNumber: number;

  constructor(readonly options: HollowWorldOptions) {
    this.random = seededRandom(options.seed);
    this.nextBackendNumber = options.config.backends;
    this.places = makePlaces(options.regions, options.zones);
    this.network = new PlaceNetwork(options.regions);
    this.seeds = Array.from({ length: options.balancers }, (_, number) =>
      gossipAddress(memberAddresses(number)),
    );
    this.tracker = new InForceTracker(options.balancers);
    const surroundings: HollowSurroundings = {
      queue: this.queue,
      network: this.network,
      meter: this.meter,
      wire: new Wire(),
      random: this.random,
      controlsByAddress: new Map(),
      linkServersByAddress: new Map(),
      balancersByGossipAddress: new Map(),
      placesByZone: new Map(this.places.map((place) => [place.zone, place])),
      gossipKey: gossipKey(CLUSTER_KEY),
      onInForce: (balancer, index) => this.tracker.inForce(balancer, index, this.queue.nowMs),
    };
    this.controls = this.makeControls(surroundings);
    this.balancers = Array.from({ length: options.balancers }, (_, number) =>
      this.makeBalancer(surroundings, number),
    );
  }

  /** Starts all control machines, then the balancers once a leader stands. */
  start(withinMs = 60_000): void {
    this.controls.forEach((control) => control.start());
    if (!this.queue.runUntilTrue(() => this.leader() !== undefined, withinMs)) {
      throw new Error('No control machine came to lead.');
    }
    this.balancers.forEach((balancer) => balancer.start());
    if (!this.runUntilConverged(withinMs)) {
      throw new Error('The balancers did not take the first configuration.');
    }
  }

  /** The machine that leads in the highest term, if it is up. */
  leader(): HollowControl | undefined {
    return this.controls
      .filter((control) => control.isUp && control.role === 'leader')
      .sort((one, other) => other.state.consensus.term - one.state.consensus.term)[0];
  }

  /** Sends an operator's command to the leader; `onOutcome` is called when it is answered. */
  send(command: OperatorCommand, onOutcome?: (outcome: CommandOutcome) => void): void {
    const atMs = HOLLOW_START_MS + this.queue.nowMs;
    const commandId = timedCommandId(atMs, `hollow-${this.nextCommandNumber}`);
    this.nextCommandNumber += 1;
    const entry = { operator: HOLLOW_OPERATOR, commandId, command, atMs };
    this.leader()?.propose(entry, (outcome) => {
      if (outcome.accepted) {
        this.noteAccepted(outcome.index);
      }
      onOutcome?.(outcome);
    });
  }

  /** Sends the command that adds one more back end. */
  sendNewBackend(onOutcome?: (outcome: CommandOutcome) => void): void {
    this.send(
      addBackendCommand(this.nextBackendNumber, this.options.config, this.places),
      onOutcome,
    );
    this.nextBackendNumber += 1;
  }

  /** True where each balancer that is up and reachable has all that was accepted. */
  isConverged(): boolean {
    return this.balancers.every(
      ({ isUp, state }) => !isUp || state.position.index >= Math.max(this.acceptedIndex, 1),
    );
  }

  /**
   * Runs until `isConverged`.
   * @returns false where it did not come within the time
   */
  runUntilConverged(withinMs: number): boolean {
    return this.queue.runUntilTrue(() => this.isConverged(), withinMs);
  }

  /** Ends a balancer's process and starts it again after a while. */
  restartBalancer(number: number, downMs: number): void {
    const balancer = this.balancers[number];
    balancer?.kill();
    this.tracker.wentDown(number);
    this.queue.after(downMs, () => balancer?.start());
  }

  private noteAccepted(index: number): void {
    this.acceptedIndex = Math.max(this.acceptedIndex, index);
    this.acceptedCount += 1;
    const positions = this.balancers.map(({ isUp, state }) =>
      isUp ? state.position.index : undefined,
    );
    this.tracker.accepted(index, this.queue.nowMs, positions);
  }

  private makeControls(surroundings: HollowSurroundings): HollowControl[] {
    const { controls, config } = this.options;
    const members = Array.from({ length: controls }, (_, number): Member => {
      const linkAddress = controlAddress(number);
      const nodeId = `control-${number + 1}`;
      const storageId = `disk-${number + 1}`;
      return { nodeId, storageId, role: 'voter', linkAddress, operatorAddress: linkAddress };
    });
    const state = makeClusterState(config, this.places);
    this.acceptedIndex = state.index;
    return members.map(({ nodeId, storageId, linkAddress }, number) => {
      const control = new HollowControl(surroundings, {
        nodeId,
        place: this.placeOf(number),
        linkAddress,
        clusterKey: CLUSTER_KEY,
        disk: firstDisk(storageId, state, sortedMembership(members)),
      });
      surroundings.controlsByAddress.set(formatAddress(linkAddress), control);
      surroundings.linkServersByAddress.set(formatAddress(linkAddress), control);
      return control;
    });
  }

  private makeBalancer(surroundings: HollowSurroundings, number: number): HollowBalancer {
    const { controls, balancerTickMs = DAEMON_TICK_INTERVAL_MS } = this.options;
    const controlAddresses = Array.from({ length: controls }, (_, offset) =>
      controlAddress((number + offset) % controls),
    );
    const addresses = memberAddresses(number);
    const balancer = new HollowBalancer(surroundings, {
      number,
      place: this.placeOf(number),
      clusterKey: CLUSTER_KEY,
      controlAddresses,
      addresses,
      seeds: this.seeds,
      tickIntervalMs: balancerTickMs,
    });
    surroundings.linkServersByAddress.set(formatAddress(linkAddress(addresses)), balancer);
    surroundings.balancersByGossipAddress.set(formatAddress(gossipAddress(addresses)), balancer);
    return balancer;
  }

  private placeOf(number: number): Place {
    const place = this.places[number % this.places.length];
    if (place === undefined) {
      throw new RangeError('A hollow world has at least one zone.');
    }
    return place;
  }
}
