/**
 * @file A simulated control machine: the daemon's step function and storage on a virtual disk and
 * virtual links. A restart recovers the state from the disk.
 */
import { match } from 'ts-pattern';
import type { Address } from '../../shared/common/address.js';
import type { OutboundLinks } from '../../shared/common/outbound-links.js';
import type { PersistEffect } from '../../shared/consensus/persisted-state.js';
import { operatorTokenHash } from '../../managed/control/command-hash.js';
import {
  SYSTEM_OPERATOR,
  type CommandEntry,
  type CommandOutcome,
} from '../../managed/control/commands.js';
import {
  createControlState,
  isLeader,
  type ControlEffect,
  type ControlEvent,
  type ControlState,
} from '../../managed/control/control-step.js';
import type { PeerEnvelope } from '../../managed/control/peer-messages.js';
import { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import type { BalancerToControlMessage } from '../../managed/dissemination/link-messages.js';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import { TOKEN_KEY_LENGTH_BYTES } from '../../managed/flow/token.js';
import { configDigest } from './config-digest.js';
import { createSimulatedPeerLinks } from './simulated-peer-links.js';
import { SimulatedProcess } from './simulated-process.js';
import type { LinkAcceptor, Simulation } from './simulation.js';
import { VirtualDisk } from '../virtual/virtual-disk.js';
import type { VirtualLinkEnd } from '../virtual/virtual-links.js';

const TICK_INTERVAL_MS = 20;
const STOP_POLL_INTERVAL_MS = 5;
/** Longest wait of a graceful stop for the leadership transfer. */
const TRANSFER_TIMEOUT_MS = 2_000;
/** Time from a failed write until the process ends. */
const RESTART_AFTER_FAILURE_MS = 500;
/** Time for which ticks reuse a secret, since generating one at each tick is slow. */
const SECRET_LIFETIME_MS = 1_000;
const FIRST_KEY_ID = 1;
const BYTE_VALUES = 256;
const STORAGE_ID_BOUND = 2 ** 31;

/** Options of a simulated control machine. */
export interface SimulatedControlOptions {
  readonly name: string;
  readonly zone: string;
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  readonly peers: readonly { readonly nodeId: string; readonly linkAddress: Address }[];
  readonly clusterKey: string;
  readonly operators: readonly { readonly name: string; readonly token: string }[];
}

/**
 * Answer to a state query of an operator: the applied index, or an error with the leader if known.
 */
export interface StateAnswer {
  readonly index?: number;
  readonly error?: AmberliftError;
  readonly leader?: Address;
}

/** A control machine in the simulated world. */
export class SimulatedControl extends SimulatedProcess {
  readonly disk: VirtualDisk;
  /** Undefined while the process is down or reads its disk. */
  state: ControlState | undefined;
  private storage: ConsensusStorage | undefined;
  private peerLinks: OutboundLinks<VirtualLinkEnd> | undefined;
  private readonly links = new Map<number, VirtualLinkEnd>();
  private readonly pendingCommands = new Map<number, (outcome: CommandOutcome) => void>();
  private readonly pendingQueries = new Map<number, (answer: StateAnswer) => void>();
  private nextLinkId = 1;
  private nextRequestId = 1;
  private recordedIndex = 0;
  private secret: Uint8Array = new Uint8Array(TOKEN_KEY_LENGTH_BYTES);
  private renewSecretAtMs = 0;

  constructor(
    simulation: Simulation,
    readonly options: SimulatedControlOptions,
  ) {
    super(simulation, 'control', options.name, options.linkAddress.host, options.zone);
    this.disk = new VirtualDisk(simulation.clock, simulation.fork());
    simulation.listen(options.linkAddress, {
      host: this.host,
      isListening: () => this.status !== 'down' && this.state !== undefined,
      accept: () => this.acceptLink(),
    });
  }

  /**
   * True while this machine has the leader role, even if another has been elected in a later term.
   */
  get isLeader(): boolean {
    return this.state !== undefined && isLeader(this.state);
  }

  /** Proposes a command for the log, as the operator interface does. */
  propose(entry: CommandEntry, done: (outcome: CommandOutcome) => void): void {
    const requestId = this.allocateRequestId();
    this.pendingCommands.set(requestId, done);
    this.step({ type: 'propose', requestId, entry });
  }

  /** Queries the state, as the operator interface does. */
  queryState(done: (answer: StateAnswer) => void): void {
    const requestId = this.allocateRequestId();
    this.pendingQueries.set(requestId, done);
    this.step({ type: 'query', requestId });
  }

  /** Stops gracefully: transfers leadership, then ends. */
  stop(): void {
    this.step({ type: 'stop' });
    this.stopAfterTransfer(this.simulation.nowMs + TRANSFER_TIMEOUT_MS);
  }

  /** Simulates a power loss: writes that the disk has not synced may be lost. */
  losePower(): void {
    this.disk.crash();
    this.links.forEach((link) => link.crash());
    this.links.clear();
    this.peerLinks?.close((link) => link.crash());
    this.crash();
  }

  protected onStart(): void {
    const folder = this.simulation.steps.storage(this.disk.open());
    const makeStorageId = (): string => `disk-${this.random.nextInt(STORAGE_ID_BOUND)}`;
    this.simulation.clock.markPromiseSettled();
    void ConsensusStorage.open(folder, this.name, makeStorageId).then((storage) => {
      this.simulation.clock.markPromiseSettled();
      if (storage.isOk()) {
        this.initialize(storage.value);
      } else {
        // The daemon refuses to start from a corrupt disk.
        this.crash();
      }
    });
  }

  protected onDown(): void {
    this.disk.killProcess();
    this.state = undefined;
    this.storage = undefined;
    this.pendingCommands.clear();
    this.pendingQueries.clear();
    this.links.forEach((link) => link.close());
    this.links.clear();
    this.peerLinks?.close((link) => link.close());
  }

  private initialize(storage: ConsensusStorage): void {
    const { linkAddress, operatorAddress, peers, clusterKey } = this.options;
    this.storage = storage;
    this.peerLinks = createSimulatedPeerLinks(this.simulation, this.host);
    this.recordedIndex = 0;
    this.state = createControlState({
      nodeId: this.name,
      clusterKey,
      linkAddress,
      operatorAddress,
      peers,
      recovered: storage.recovered,
    });
    this.recordApplied();
    this.scheduleEvery(TICK_INTERVAL_MS, () => this.tick());
  }

  private tick(): void {
    const { nowMs, wallTimeMs } = this.simulation;
    if (nowMs >= this.renewSecretAtMs) {
      this.secret = this.freshSecret();
      this.renewSecretAtMs = nowMs + SECRET_LIFETIME_MS;
    }
    this.step({ type: 'tick', wallTimeMs, freshSecret: this.secret });
  }

  private freshSecret(): Uint8Array {
    return Uint8Array.from({ length: TOKEN_KEY_LENGTH_BYTES }, () =>
      this.random.nextInt(BYTE_VALUES),
    );
  }

  private step(event: ControlEvent): void {
    this.perform(() => {
      if (this.state === undefined) {
        return;
      }
      const context = this.simulation.contextFor(this.random);
      const effects = this.simulation.steps.control(this.state, event, context);
      this.recordApplied();
      effects.forEach((effect) => this.performEffect(effect));
    });
  }

  private recordApplied(): void {
    const index = this.state?.cluster.index ?? 0;
    if (this.state !== undefined && index !== this.recordedIndex) {
      this.recordedIndex = index;
      const digest = configDigest(this.state.cluster.routing);
      this.simulation.record({ type: 'applied', control: this.name, index, digest });
    }
  }

  private performEffect(effect: ControlEffect): void {
    match(effect)
      .with({ type: 'persist' }, { type: 'persist-snapshot' }, (write) => this.persist(write))
      .with({ type: 'peer-send' }, ({ address, envelope }) =>
        this.peerLinks?.send(address, envelope),
      )
      .with({ type: 'link-send' }, ({ linkId, message }) => this.links.get(linkId)?.send(message))
      .with({ type: 'operator-reply' }, ({ requestId, outcome }) => {
        const done = this.pendingCommands.get(requestId);
        this.pendingCommands.delete(requestId);
        done?.(outcome);
      })
      .with({ type: 'query-reply' }, ({ requestId, error, leader }) => {
        const done = this.pendingQueries.get(requestId);
        this.pendingQueries.delete(requestId);
        const index = this.state?.cluster.index ?? 0;
        done?.(error === undefined ? { index } : { error, ...(leader && { leader }) });
      })
      .with({ type: 'role-changed' }, () => this.recordRole())
      .exhaustive();
  }

  private persist(effect: PersistEffect): void {
    const { writeId } = effect;
    const { storage } = this;
    this.simulation.clock.markPromiseSettled();
    storage?.persist(effect).then(
      () => this.completeWrite(storage, { type: 'persisted', writeId }),
      (cause: unknown) =>
        this.completeWrite(storage, { type: 'persist-failed', writeId, reason: String(cause) }),
    );
  }

  /**
   * After a failed write the daemon takes no further part in the cluster; the process ends soon.
   */
  private completeWrite(storage: ConsensusStorage, event: ControlEvent): void {
    if (storage !== this.storage) {
      return;
    }
    this.simulation.clock.markPromiseSettled();
    this.step(event);
    if (event.type === 'persist-failed') {
      this.schedule(RESTART_AFTER_FAILURE_MS, () => this.crash());
    }
  }

  private recordRole(): void {
    if (this.state === undefined) {
      return;
    }
    const { role, term } = this.state.consensus;
    this.simulation.record({ type: 'role', control: this.name, role: role.name, term });
    if (isLeader(this.state) && this.state.cluster.operators.size === 0) {
      this.proposeBootstrapCommands();
    }
  }

  private proposeBootstrapCommands(): void {
    const operators = this.options.operators.map(({ name, token }) => ({
      name,
      tokenHash: operatorTokenHash(token),
    }));
    const bootstrapCommands: CommandEntry[] = [
      {
        commandId: 'bootstrap-operators',
        operator: SYSTEM_OPERATOR,
        command: { type: 'set-operators', operators },
      },
      {
        commandId: 'bootstrap-token-key',
        operator: SYSTEM_OPERATOR,
        command: {
          type: 'set-token-key',
          id: FIRST_KEY_ID,
          secret: this.freshSecret(),
          state: 'current',
        },
      },
    ];
    bootstrapCommands.forEach((entry) => this.propose(entry, () => undefined));
  }

  private acceptLink(): LinkAcceptor {
    const linkId = this.nextLinkId;
    this.nextLinkId += 1;
    return {
      opened: (end) => this.links.set(linkId, end),
      onMessage: (message) => this.handleMessage(linkId, message),
      onClose: () => {
        this.links.delete(linkId);
        this.step({ type: 'link-closed', linkId });
      },
    };
  }

  private handleMessage(linkId: number, message: unknown): void {
    if ((message as { type?: unknown }).type === 'peer') {
      this.step({ type: 'peer-message', envelope: message as PeerEnvelope });
    } else {
      this.step({ type: 'link-message', linkId, message: message as BalancerToControlMessage });
    }
  }

  private allocateRequestId(): number {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return requestId;
  }

  private stopAfterTransfer(deadlineAtMs: number): void {
    if (this.isLeader && this.simulation.nowMs < deadlineAtMs) {
      this.schedule(STOP_POLL_INTERVAL_MS, () => this.stopAfterTransfer(deadlineAtMs));
      return;
    }
    this.completeStop(0);
  }
}
