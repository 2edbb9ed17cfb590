/** @file Control machines on a simulated network with in-memory disks and a virtual clock, deterministic per seed. */
import { seededRandom } from '../../../src/shared/common/random.js';
import { formatAddress, type Address } from '../../../src/shared/common/address.js';
import type { RandomSource } from '../../../src/shared/common/step.js';
import type { ConsensusOptions } from '../../../src/shared/consensus/consensus-state.js';
import type { NodeId } from '../../../src/shared/consensus/membership.js';
import type { Command, CommandOutcome } from '../../../src/managed/control/commands.js';
import type { ControlEvent, MemberCommand } from '../../../src/managed/control/control-events.js';
import type { PersistEffect } from '../../../src/shared/consensus/persisted-state.js';
import {
  controlStep,
  createControlState,
  isLeader,
  type ControlEffect,
  type ControlState,
} from '../../../src/managed/control/control-step.js';
import type { PeerEnvelope } from '../../../src/managed/control/peer-messages.js';
import type { AmberliftError } from '../../../src/shared/common/error-kinds.js';
import { TimedQueue } from '../../../src/proof/virtual/timed-queue.js';
import { Invariants } from './invariants.js';
import { LogDisk } from './log-disk.js';

const START_TIME_MS = 1_000;
const WALL_CLOCK_OFFSET_MS = Date.UTC(2026, 11, 2);
const MAX_MESSAGE_DELAY_MS = 10;
const MAX_SYNC_DELAY_MS = 15;
/** Operator name of the commands in tests. */
export const OPERATOR = 'tarjeta';

/** Options of a simulated network. */
export interface NetworkOptions {
  readonly seed: number;
  /** Machines that bootstrap the cluster. */
  readonly nodeIds: readonly NodeId[];
  /** Fraction of messages that are lost, 0 to 1. */
  readonly lossRate?: number;
  /** Fraction of messages that are delivered twice, 0 to 1. */
  readonly duplicateRate?: number;
  readonly tickMs?: number;
  readonly snapshotIntervalEntries?: number;
  readonly trailingEntries?: number;
  readonly snapshotChunkBytes?: number;
  readonly clusterKey?: string;
}

/** A command or query and, once it has arrived, its result. */
export interface PendingRequest {
  readonly commandId: string;
  outcome?: CommandOutcome;
  /** Answer to a query, with the index of the answering state. */
  answer?: { readonly error?: AmberliftError; readonly index: number };
}

/** One control machine; `state` is undefined while it is down. */
export interface Machine {
  readonly nodeId: NodeId;
  disk: LogDisk;
  state: ControlState | undefined;
  /** Incremented at each start and crash; scheduled events of an earlier incarnation are dropped. */
  incarnation: number;
  /** While true, the machine gets no ticks and no messages. */
  isFrozen: boolean;
  readonly pending: Map<number, PendingRequest>;
  readonly clusterKey: string;
  readonly peers: readonly NodeId[];
}

/** Control machines on one network. */
export class ControlNetwork {
  readonly machines = new Map<NodeId, Machine>();
  readonly random: RandomSource;
  readonly invariants = new Invariants();
  nowMs = START_TIME_MS;
  /** Current fraction of messages that are lost, 0 to 1. */
  lossRate: number;
  private readonly queue = new TimedQueue();
  private readonly tickMs: number;
  private partitionGroups: readonly (readonly NodeId[])[] | undefined;
  private nextId = 1;

  constructor(readonly options: NetworkOptions) {
    this.random = seededRandom(options.seed);
    this.lossRate = options.lossRate ?? 0;
    this.tickMs = options.tickMs ?? 20;
    for (const nodeId of options.nodeIds) {
      this.addMachine(nodeId, options.nodeIds);
    }
  }

  /** Adds a machine with an empty disk and starts it. */
  addMachine(nodeId: NodeId, peers: readonly NodeId[], clusterKey?: string): Machine {
    const machine: Machine = {
      nodeId,
      disk: this.newDisk(nodeId),
      state: undefined,
      incarnation: 0,
      isFrozen: false,
      pending: new Map(),
      clusterKey: clusterKey ?? this.options.clusterKey ?? 'cluster-key',
      peers: peers.filter((peer) => peer !== nodeId),
    };
    this.machines.set(nodeId, machine);
    this.start(nodeId);
    return machine;
  }

  machine(nodeId: NodeId): Machine {
    const machine = this.machines.get(nodeId);
    if (machine === undefined) {
      throw new Error(`There is no machine ${nodeId}.`);
    }
    return machine;
  }

  stateOf(nodeId: NodeId): ControlState {
    const { state } = this.machine(nodeId);
    if (state === undefined) {
      throw new Error(`Machine ${nodeId} is down.`);
    }
    return state;
  }

  start(nodeId: NodeId): void {
    const machine = this.machine(nodeId);
    machine.incarnation += 1;
    const { snapshotIntervalEntries } = this.options;
    machine.state = createControlState({
      nodeId,
      clusterKey: machine.clusterKey,
      linkAddress: linkAddressOf(nodeId),
      operatorAddress: { ...linkAddressOf(nodeId), port: 8000 },
      peers: machine.peers.map((peer) => ({ nodeId: peer, linkAddress: linkAddressOf(peer) })),
      operators: [{ name: OPERATOR, tokenHash: 'hash' }],
      recovered: machine.disk.recover(),
      consensus: this.consensusOptions(),
      ...(snapshotIntervalEntries !== undefined && { snapshotIntervalEntries }),
    });
    this.scheduleTick(machine, machine.incarnation);
  }

  private consensusOptions(): Partial<ConsensusOptions> {
    const { trailingEntries, snapshotChunkBytes } = this.options;
    return {
      ...(trailingEntries !== undefined && { trailingEntries }),
      ...(snapshotChunkBytes !== undefined && { snapshotChunkBytes }),
    };
  }

  crash(nodeId: NodeId): void {
    const machine = this.machine(nodeId);
    machine.incarnation += 1;
    machine.state = undefined;
    machine.isFrozen = false;
    machine.pending.clear();
    machine.disk.crash(this.random);
  }

  restart(nodeId: NodeId): void {
    this.crash(nodeId);
    this.start(nodeId);
  }

  /** Crashes the machine and restarts it with an empty disk. */
  loseDisk(nodeId: NodeId): void {
    this.crash(nodeId);
    this.machine(nodeId).disk = this.newDisk(nodeId);
    this.start(nodeId);
  }

  /** Limits messages to machines of the same group; a machine in no group is isolated. */
  partition(...groups: readonly (readonly NodeId[])[]): void {
    this.partitionGroups = groups;
  }

  heal(): void {
    this.partitionGroups = undefined;
  }

  /** Advances the virtual clock and runs the events that are due. */
  run(durationMs: number): void {
    this.runUntil(() => false, durationMs);
  }

  /** @returns true if the condition held within the time limit */
  runUntil(condition: () => boolean, limitMs = 20_000): boolean {
    const endMs = this.nowMs + limitMs;
    while (!condition()) {
      const event = this.queue.takeDue(endMs);
      if (event === undefined) {
        this.nowMs = endMs;
        return condition();
      }
      this.nowMs = Math.max(this.nowMs, event.atMs);
      event.run();
    }
    return true;
  }

  /** The leader with the highest term, if any. */
  leader(): NodeId | undefined {
    const leaders = [...this.machines.values()].filter(
      ({ state }) => state !== undefined && isLeader(state),
    );
    leaders.sort((a, b) => termOf(b) - termOf(a));
    return leaders[0]?.nodeId;
  }

  /** Waits for a leader that has applied the operators and the first token key. */
  awaitLeader(): NodeId {
    const isReady = () => {
      const leader = this.leader();
      const cluster = leader === undefined ? undefined : this.stateOf(leader).cluster;
      return cluster !== undefined && cluster.operators.size > 0 && cluster.routing.keys.size > 0;
    };
    if (!this.runUntil(isReady)) {
      throw new Error('No leader was elected within the time limit.');
    }
    return this.leader() ?? '';
  }

  /** Proposes a command at one machine. */
  propose(nodeId: NodeId, command: Command, id = this.allocateId()): PendingRequest {
    const pending: PendingRequest = { commandId: `command-${id}` };
    const machine = this.machine(nodeId);
    const requestId = this.allocateId();
    machine.pending.set(requestId, pending);
    const entry = { commandId: pending.commandId, operator: OPERATOR, command };
    this.step(machine, { type: 'propose', requestId, entry });
    return pending;
  }

  /** Proposes a service with a unique name and address. */
  defineService(nodeId: NodeId, number = this.allocateId()): PendingRequest {
    const address = {
      host: `127.${1 + (number >> 16)}.${(number >> 8) & 255}.${number & 255}`,
      port: 7000,
    };
    const service = serviceName(number);
    const policy = 'adaptive';
    return this.propose(
      nodeId,
      { type: 'define-service', service, address, policy, limits: {} },
      number,
    );
  }

  /** Proposes a service at the current leader until it is accepted. */
  defineServiceUntilAccepted(number = this.allocateId()): void {
    for (;;) {
      const pending = this.defineService(this.awaitLeader(), number);
      this.runUntil(() => pending.outcome !== undefined, 5_000);
      if (pending.outcome?.accepted === true) {
        return;
      }
    }
  }

  query(nodeId: NodeId): PendingRequest {
    const pending: PendingRequest = { commandId: '' };
    const requestId = this.allocateId();
    const machine = this.machine(nodeId);
    machine.pending.set(requestId, pending);
    this.step(machine, { type: 'query', requestId });
    return pending;
  }

  changeMembers(nodeId: NodeId, command: MemberCommand): PendingRequest {
    const pending: PendingRequest = { commandId: '' };
    const requestId = this.allocateId();
    const machine = this.machine(nodeId);
    machine.pending.set(requestId, pending);
    this.step(machine, { type: 'change-members', requestId, command });
    return pending;
  }

  /** Proposes a membership change at the current leader until it is accepted. */
  changeMembersUntilAccepted(command: MemberCommand): void {
    for (;;) {
      const pending = this.changeMembers(this.awaitLeader(), command);
      this.runUntil(() => pending.outcome !== undefined, 5_000);
      if (pending.outcome?.accepted === true) {
        return;
      }
      this.run(100);
    }
  }

  step(machine: Machine, event: ControlEvent): void {
    if (machine.state === undefined) {
      return;
    }
    const { state } = machine;
    const context = { nowMs: this.nowMs, random: this.random };
    const effects = controlStep(state, event, context);
    this.invariants.check(state.consensus);
    effects.forEach((effect) => this.perform(machine, state, effect));
  }

  /** The consensus states of all machines that are up. */
  consensusStates() {
    return [...this.machines.values()].flatMap(({ state }) => (state ? [state.consensus] : []));
  }

  allocateId(): number {
    const id = this.nextId;
    this.nextId += 1;
    return id;
  }

  private perform(machine: Machine, state: ControlState, effect: ControlEffect): void {
    switch (effect.type) {
      case 'persist':
      case 'persist-snapshot':
        this.persist(machine, effect);
        return;
      case 'peer-send':
        this.send(machine, effect.address, effect.envelope);
        return;
      case 'operator-reply': {
        const pending = machine.pending.get(effect.requestId);
        machine.pending.delete(effect.requestId);
        if (pending !== undefined) {
          pending.outcome = effect.outcome;
        }
        return;
      }
      case 'query-reply': {
        const pending = machine.pending.get(effect.requestId);
        machine.pending.delete(effect.requestId);
        if (pending !== undefined) {
          const { error } = effect;
          pending.answer = { index: state.cluster.index, ...(error !== undefined && { error }) };
        }
        return;
      }
      case 'link-send':
      case 'role-changed':
        return;
    }
  }

  private persist(machine: Machine, write: PersistEffect): void {
    const { disk, incarnation } = machine;
    const { writeId } = write;
    disk.begin(write);
    this.queue.add(this.nowMs + 1 + this.random.nextInt(MAX_SYNC_DELAY_MS), () => {
      if (machine.incarnation !== incarnation) {
        return;
      }
      if (disk.failsSyncs) {
        this.step(machine, { type: 'persist-failed', writeId, reason: 'no space left' });
        return;
      }
      disk.finish();
      this.step(machine, { type: 'persisted', writeId });
    });
  }

  private send(from: Machine, address: Address, envelope: PeerEnvelope): void {
    const { duplicateRate = 0 } = this.options;
    const copies = this.random.nextFloat() < duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isLost = this.random.nextFloat() < this.lossRate;
      const atMs = this.nowMs + 1 + this.random.nextInt(MAX_MESSAGE_DELAY_MS);
      const text = formatAddress(address);
      if (!isLost) {
        this.queue.add(atMs, () => this.deliver(from.nodeId, text, envelope));
      }
    }
  }

  private deliver(from: NodeId, address: string, envelope: PeerEnvelope): void {
    const machine = [...this.machines.values()].find(
      ({ nodeId }) => formatAddress(linkAddressOf(nodeId)) === address,
    );
    const isReachable =
      this.partitionGroups === undefined ||
      this.partitionGroups.some(
        (group) => group.includes(from) && group.includes(machine?.nodeId ?? ''),
      );
    if (machine !== undefined && isReachable && !machine.isFrozen) {
      this.step(machine, { type: 'peer-message', envelope });
    }
  }

  private scheduleTick(machine: Machine, incarnation: number): void {
    this.queue.add(this.nowMs + this.tickMs, () => {
      if (machine.incarnation !== incarnation) {
        return;
      }
      if (!machine.isFrozen) {
        const wallTimeMs = WALL_CLOCK_OFFSET_MS + this.nowMs;
        const freshSecret = Uint8Array.from({ length: 16 }, () => this.random.nextInt(256));
        this.step(machine, { type: 'tick', wallTimeMs, freshSecret });
      }
      this.scheduleTick(machine, incarnation);
    });
  }

  private newDisk(nodeId: NodeId): LogDisk {
    return new LogDisk(`${nodeId}/disk-${this.allocateId()}`);
  }
}

/** Name of the service that `defineService` proposes for a number. */
export function serviceName(number: number): string {
  return `service-${number}`;
}

function linkAddressOf(nodeId: NodeId): Address {
  const number = Number(nodeId.replace(/\D/g, ''));
  return { host: `127.0.9.${number}`, port: 7100 };
}

function termOf(machine: Machine): number {
  return machine.state?.consensus.term ?? 0;
}
