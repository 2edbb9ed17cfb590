/**
 * @file A simulated control machine: runs the product's group process on a virtual disk, which persists across restarts, and
 * on the virtual network.
 */
import type { Address } from '../../shared/common/address.js';
import { formatAddress } from '../../shared/common/address.js';
import { createOutboundLinks, type OutboundLinks } from '../../shared/common/outbound-links.js';
import { createLinkTable } from '../../shared/common/link-table.js';
import type { GroupReply } from '../../registered/group/group-events.js';
import { startNumberOf } from '../../registered/group/calls/forward-ids.js';
import { createGroupState } from '../../registered/group/group-state.js';
import type { PersistEffect } from '../../shared/consensus/persisted-state.js';
import type { ConsensusState } from '../../shared/consensus/consensus-state.js';
import {
  initialStorageId,
  isInitialMember,
} from '../../registered/group/members/member-identity.js';
import { packFeed } from '../../registered/group/wire/feed-codec.js';
import {
  isBalancerLinkMessage,
  senderAddressOf,
  type PeerMessage,
} from '../../registered/group/group-messages.js';
import { parseControlInbound } from '../../registered/group/message-schemas.js';
import { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import { GroupProcess, type GroupCall } from '../../registered/daemon/group-process.js';
import { readStoredConfig } from '../../registered/declared/parse-config.js';
import { VirtualDisk } from '../virtual/virtual-disk.js';
import { createProcessGate, type ProcessGate } from './process-gate.js';
import type { VirtualLink } from '../virtual/virtual-wires.js';
import type { IngressWorldParts } from './world-parts.js';

const TICK_MS = 50;
const WRITE_RETRY_DELAY_MS = 200;
const LINK_RETRY_DELAY_MS = 50;
const REQUEST_DEADLINE_MS = 850;
/** Time between a stop request and the exit, as in the daemon; lets the last messages be sent. */
const STOP_DELAY_MS = 250;

/** A control machine whose process can be started, killed and suspended. */
export class SimulatedControlMachine {
  readonly disk: VirtualDisk;
  process: GroupProcess | undefined;
  private readonly gate: ProcessGate;
  private peerLinks: OutboundLinks<VirtualLink> | undefined;
  private readonly feedLinks = createLinkTable<VirtualLink>();
  private nextStorageNumber = 1;

  constructor(
    readonly address: Address,
    private readonly zone: string,
    private readonly seeds: readonly Address[],
    private readonly parts: IngressWorldParts,
  ) {
    this.disk = new VirtualDisk(parts.clock, parts.random);
    this.gate = createProcessGate(parts.clock);
  }

  get isRunning(): boolean {
    return this.process !== undefined;
  }

  /** Starts the process; it runs once its storage has been recovered. */
  start(isFirstStart: boolean): void {
    const generation = this.gate.advanceGeneration();
    const { clock, wires } = this.parts;
    wires.hostStarted(this.address.host);
    const makeStorageId = isInitialMember(this.address, this.seeds, isFirstStart)
      ? () => initialStorageId(this.address)
      : () => this.newStorageId();
    const waitBeforeRetry = () => this.pause();
    const name = formatAddress(this.address);
    void ConsensusStorage.open(this.disk.open(), name, makeStorageId, waitBeforeRetry).then(
      (opened) => {
        if (generation === this.gate.generation) {
          this.run(opened._unsafeUnwrap(), isFirstStart, generation);
        }
      },
    );
    clock.markPromiseSettled();
  }

  /** Kills the process; unsynced writes are kept. */
  kill(): void {
    this.endProcess();
    this.disk.killProcess();
  }

  /** Simulates a power failure: unsynced data is lost in whole or in part. */
  powerOff(): void {
    this.endProcess();
    this.disk.crash();
  }

  /** Kills the process and erases the disk. */
  wipe(): void {
    this.endProcess();
    this.disk.wipe();
  }

  /** Handles a call of a back end or an operator; unanswered if the process is not running. */
  call(call: GroupCall, answer: (reply: GroupReply) => void): void {
    this.gate.whenRunning(this.gate.generation, () => this.process?.call(call, answer));
  }

  /** Stops the process gracefully; it ends after `STOP_DELAY_MS`. */
  stop(): void {
    const { generation } = this.gate;
    this.gate.whenRunning(generation, () => {
      this.process?.stop();
      this.parts.clock.after(STOP_DELAY_MS, () => {
        if (generation === this.gate.generation) {
          this.kill();
        }
      });
    });
  }

  /** Suspends the process; events are queued until it resumes. */
  freeze(durationMs: number): void {
    if (this.process !== undefined) {
      this.gate.freeze(durationMs);
    }
  }

  private endProcess(): void {
    this.gate.advanceGeneration();
    this.process = undefined;
    this.peerLinks?.close(() => undefined);
    this.feedLinks.clear();
    this.parts.wires.hostDied(this.address.host);
  }

  private run(storage: ConsensusStorage, isFirstStart: boolean, generation: number): void {
    const { clock, wires, random, options } = this.parts;
    const state = createGroupState(
      {
        linkAddress: this.address,
        zone: this.zone,
        zones: [],
        seeds: this.seeds,
        isFirstStart,
        tolerableLosses: options.tolerableLosses,
        heartbeatIntervalMs: options.heartbeatIntervalMs,
        forgetBackendAfterMs: options.flowLifetimeMs,
        removeVoterAfterMs: options.catchUpMs / 2,
        requestDeadlineMs: REQUEST_DEADLINE_MS,
        readDocument: ({ text }) => readStoredConfig(text),
        timing: this.parts.timing,
        minimumCopies: options.minimumCopies,
        redialsHeardPeers: options.policy.recovery === 'fast',
      },
      storage.recovered,
      startNumberOf(generation),
    );
    const peerLinks = createOutboundLinks<VirtualLink>({
      nowMs: () => clock.nowMs,
      dial: (to, onClose) =>
        wires.connect(this.address.host, to, { onMessage: () => false, onClose }),
      firstRetryDelayMs: LINK_RETRY_DELAY_MS,
      maxRetryDelayMs: LINK_RETRY_DELAY_MS,
    });
    this.peerLinks = peerLinks;
    const process = new GroupProcess(state, {
      context: () => ({ nowMs: clock.nowMs, random }),
      sendToPeer: (to, message) => peerLinks.send(to, message),
      sendFeed: (linkId, message) => this.feedLinks.find(linkId)?.send(packFeed(message)),
      persist: (effect) => this.persist(storage, effect, generation),
      logDecision: (name, fields) => {
        this.parts.logDecision(this.address.host, name, fields);
        this.recordLeader(state.consensus);
      },
    });
    this.process = process;
    wires.listen(this.address, {
      onMessage: (message, link) => this.receiveWhenRunning(message, link, generation),
      onClose: (link) => this.gate.whenRunning(generation, () => this.removeLink(link)),
    });
    this.tick(process, generation);
  }

  private tick(process: GroupProcess, generation: number): void {
    this.gate.whenRunning(generation, () => {
      process.tick();
      this.parts.clock.after(TICK_MS, () => this.tick(process, generation));
    });
  }

  /** Writes complete even while the process is suspended; it receives the result when it resumes. */
  private persist(
    storage: ConsensusStorage,
    effect: PersistEffect,
    generation: number,
  ): Promise<void> {
    const { clock } = this.parts;
    const written = storage.persist(effect).finally(() => clock.markPromiseSettled());
    return written.then(
      () =>
        new Promise((resolve) =>
          this.gate.whenRunning(generation, () => {
            clock.markPromiseSettled();
            resolve();
          }),
        ),
    );
  }

  private receiveWhenRunning(message: unknown, link: VirtualLink, generation: number): boolean {
    if (!this.gate.isFrozen) {
      return this.receive(message, link);
    }
    this.gate.whenRunning(generation, () => this.receive(message, link));
    return true;
  }

  private receive(message: unknown, link: VirtualLink): boolean {
    const parsed = parseControlInbound(message);
    if (parsed === undefined) {
      return false;
    }
    if (isBalancerLinkMessage(parsed)) {
      this.process?.handleBalancerMessage(this.feedLinks.idOf(link), parsed);
    } else {
      this.redialIfHeard(parsed);
      this.process?.handlePeerMessage(parsed);
    }
    return true;
  }

  private redialIfHeard(message: PeerMessage): void {
    const from = senderAddressOf(message);
    if (this.process?.state.options.redialsHeardPeers === true && from !== undefined) {
      this.peerLinks?.recordHeard(from, (link) => link.close());
    }
  }

  private recordLeader({ role, term }: ConsensusState): void {
    if (role.name === 'leader') {
      this.parts.oracle.recordLeader(term, this.address.host, this.parts.clock.nowMs);
    }
  }

  private removeLink(link: VirtualLink): void {
    const linkId = this.feedLinks.remove(link);
    if (linkId !== undefined) {
      this.process?.closeLink(linkId);
    }
  }

  private newStorageId(): string {
    const number = this.nextStorageNumber;
    this.nextStorageNumber += 1;
    return `disk-${number}-of-${this.address.host}`;
  }

  private pause(): Promise<void> {
    const { clock } = this.parts;
    return new Promise((resolve) => {
      clock.after(WRITE_RETRY_DELAY_MS, () => {
        clock.markPromiseSettled();
        resolve();
      });
    });
  }
}
