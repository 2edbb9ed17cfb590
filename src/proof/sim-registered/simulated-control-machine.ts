/**
 * @file A control machine of the simulated deployment: the product's process of `group` over a virtual disk, which outlives it, and virtual wires.
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
import { isBalancerLinkMessage } from '../../registered/group/group-messages.js';
import { parseControlInbound } from '../../registered/group/message-schemas.js';
import { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import { GroupProcess, type GroupCall } from '../../registered/daemon/group-process.js';
import type { DeclaredConfig } from '../../registered/declared/declared-config.js';
import type { ConfigDocument } from '../../registered/group/replicated-state.js';
import { VirtualDisk } from '../virtual/virtual-disk.js';
import { createProcessGate, type ProcessGate } from './process-gate.js';
import type { VirtualLink } from '../virtual/virtual-wires.js';
import type { IngressWorldParts } from './world-parts.js';

const TICK_MS = 50;
const RETRY_WRITE_MS = 200;
const RETRY_LINK_AFTER_MS = 50;
const REQUEST_DEADLINE_MS = 850;
/** As the daemon: time for what was sent at a stop to leave. */
const STOP_MS = 250;

/** Reads the documents of the simulated operator: the configuration as JSON. */
function readSimulatedDocument({ text }: ConfigDocument): DeclaredConfig {
  return JSON.parse(text) as DeclaredConfig;
}

/** One control machine. */
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

  /** Starts the process; it runs once its disk is read. */
  start(isFirstStart: boolean): void {
    const generation = this.gate.renew();
    const { clock, wires } = this.parts;
    wires.hostStarted(this.address.host);
    const makeStorageId = isInitialMember(this.address, this.seeds, isFirstStart)
      ? () => initialStorageId(this.address)
      : () => this.freshStorageId();
    const pause = () => this.pause();
    const name = formatAddress(this.address);
    void ConsensusStorage.open(this.disk.open(), name, makeStorageId, pause).then((opened) => {
      if (generation === this.gate.generation) {
        this.run(opened._unsafeUnwrap(), isFirstStart, generation);
      }
    });
    clock.markPromiseSettled();
  }

  /** The process dies; what was written stays. */
  kill(): void {
    this.end();
    this.disk.processDied();
  }

  /** The machine loses power: what was not synced is lost, whole or in part. */
  powerOff(): void {
    this.end();
    this.disk.crash();
  }

  /** The machine loses its disk. */
  wipe(): void {
    this.end();
    this.disk.wipe();
  }

  /** A call of a back end or the operator; unanswered where the process is not running. */
  call(call: GroupCall, answer: (reply: GroupReply) => void): void {
    this.gate.whenRunning(this.gate.generation, () => this.process?.call(call, answer));
  }

  /** Asks the process to stop; it ends after the time that the daemon takes for it. */
  stop(): void {
    const { generation } = this.gate;
    this.gate.whenRunning(generation, () => {
      this.process?.stop();
      this.parts.clock.after(STOP_MS, () => {
        if (generation === this.gate.generation) {
          this.kill();
        }
      });
    });
  }

  /** The process stands still; what comes meanwhile waits until it goes on. */
  freeze(forMs: number): void {
    if (this.process !== undefined) {
      this.gate.freeze(forMs);
    }
  }

  private end(): void {
    this.gate.renew();
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
        readDocument: readSimulatedDocument,
        timing: this.parts.timing,
        minimumCopies: options.minimumCopies,
      },
      storage.recovered,
      startNumberOf(generation),
    );
    const peerLinks = createOutboundLinks<VirtualLink>({
      nowMs: () => clock.nowMs,
      dial: (to, onClose) =>
        wires.connect(this.address.host, to, { onMessage: () => false, onClose }),
      firstRetryDelayMs: RETRY_LINK_AFTER_MS,
      maxRetryDelayMs: RETRY_LINK_AFTER_MS,
    });
    this.peerLinks = peerLinks;
    const process = new GroupProcess(state, {
      context: () => ({ nowMs: clock.nowMs, random }),
      sendToPeer: (to, message) => peerLinks.send(to, message),
      sendFeed: (linkId, message) => this.feedLinks.find(linkId)?.send(packFeed(message)),
      persist: (effect) => this.persist(storage, effect, generation),
      logDecision: (name, fields) => {
        this.parts.note(this.address.host, name, fields);
        this.recordLeader(state.consensus);
      },
    });
    this.process = process;
    wires.listen(this.address, {
      onMessage: (message, link) => this.receiveRunning(message, link, generation),
      onClose: (link) => this.gate.whenRunning(generation, () => this.forgetLink(link)),
    });
    this.tick(process, generation);
  }

  private tick(process: GroupProcess, generation: number): void {
    this.gate.whenRunning(generation, () => {
      process.tick();
      this.parts.clock.after(TICK_MS, () => this.tick(process, generation));
    });
  }

  /** The disk goes on while the process stands still; the process gets the result later. */
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

  private receiveRunning(message: unknown, link: VirtualLink, generation: number): boolean {
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
      this.process?.handlePeerMessage(parsed);
    }
    return true;
  }

  private recordLeader({ role, term }: ConsensusState): void {
    if (role.name === 'leader') {
      this.parts.oracle.recordLeader(term, this.address.host, this.parts.clock.nowMs);
    }
  }

  private forgetLink(link: VirtualLink): void {
    const linkId = this.feedLinks.remove(link);
    if (linkId !== undefined) {
      this.process?.closeLink(linkId);
    }
  }

  private freshStorageId(): string {
    const number = this.nextStorageNumber;
    this.nextStorageNumber += 1;
    return `disk-${number}-of-${this.address.host}`;
  }

  private pause(): Promise<void> {
    const { clock } = this.parts;
    return new Promise((resolve) => {
      clock.after(RETRY_WRITE_MS, () => {
        clock.markPromiseSettled();
        resolve();
      });
    });
  }
}
