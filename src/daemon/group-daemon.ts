/**
 * @file The daemon of a control machine of a group: disk, links and timer around the group step. The
 * calls of back ends and operators come in through `call`.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import type { PersistEffect } from '../consensus/persisted-state.js';
import type { AmberliftError } from '../flow/error-kinds.js';
import type {
  GroupEffect,
  GroupEvent,
  GroupReply,
  LinkId,
  RequestId,
} from '../group/group-events.js';
import {
  createGroupState,
  FIRST_STORAGE_ID,
  type GroupOptions,
  type GroupState,
} from '../group/group-state.js';
import { groupStep } from '../group/group-step.js';
import { isFirstMember } from '../group/membership-duties.js';
import { parseControlInbound } from '../group/message-schemas.js';
import { formatAddress, type Address } from '../common/address.js';
import { ConsensusStorage } from './consensus-storage.js';
import { logDecision } from './decision-log.js';
import { FrameLinks, type FrameLink } from './frame-links.js';
import { PeerDialer } from './peer-dialer.js';
import { openStorageFolder } from './storage-folder.js';
import { systemContextSource } from './system-context.js';

const TICK_INTERVAL_MS = 50;
const RETRY_WRITE_AFTER_MS = 200;
const STOP_DELAY_MS = 250;

/** A call of a client without the number by which it is answered. */
export type GroupCall = DistributiveOmit<
  Extract<GroupEvent, { readonly requestId: RequestId }>,
  'requestId'
>;

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

/** A running control machine. */
export class GroupDaemon {
  private readonly contexts = systemContextSource();
  private readonly links = new FrameLinks();
  private readonly dialer = new PeerDialer(this.links);
  private readonly calls = new Map<RequestId, (reply: GroupReply) => void>();
  private readonly feedLinks = new Map<LinkId, FrameLink>();
  private readonly linkIds = new Map<FrameLink, LinkId>();
  private nextNumber = 1;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly state: GroupState,
    private readonly storage: ConsensusStorage,
  ) {}

  /**
   * Opens the disk, waiting where it is full or does not answer, and starts.
   * @returns the daemon, or `storage-failed` where the disk is damaged
   */
  static async start(
    options: GroupOptions,
    dataFolder: string,
  ): Promise<Result<GroupDaemon, AmberliftError>> {
    const opened = await openDisk(options, dataFolder);
    if (opened.isErr()) {
      return opened.map((): never => {
        throw new Error('unreachable');
      });
    }
    const storage = opened.value;
    const state = createGroupState(options, storage.recovered);
    const daemon = new GroupDaemon(state, storage);
    await daemon.links.listen(options.linkAddress, {
      onMessage: (message, link) => daemon.receive(message, link),
      onClose: (link) => daemon.forgetLink(link),
    });
    daemon.timer = setInterval(() => daemon.step({ type: 'tick' }), TICK_INTERVAL_MS);
    daemon.step({ type: 'tick' });
    return opened.map(() => daemon);
  }

  /** Brings a call of a client into the group; always answered within the request deadline. */
  call(call: GroupCall): Promise<GroupReply> {
    const requestId = this.nextNumber;
    this.nextNumber += 1;
    return new Promise((resolve) => {
      this.calls.set(requestId, resolve);
      this.step({ ...call, requestId });
    });
  }

  /** Takes other seeds, by which this machine finds the group. */
  takeSeeds(seeds: readonly Address[]): void {
    this.state.seeds = seeds;
  }

  /** Hands leadership over and stops. */
  async stop(): Promise<void> {
    this.step({ type: 'stop' });
    await sleep(STOP_DELAY_MS);
    clearInterval(this.timer);
    this.links.close();
  }

  private step(event: GroupEvent): void {
    const effects = groupStep(this.state, event, this.contexts.now());
    effects.forEach((effect) => this.perform(effect));
  }

  private perform(effect: GroupEffect): void {
    switch (effect.type) {
      case 'send-peer':
        this.dialer.send(effect.to, effect.message);
        return;
      case 'send-feed':
        this.feedLinks.get(effect.linkId)?.send(effect.message);
        return;
      case 'reply':
        this.calls.get(effect.requestId)?.(effect.reply);
        this.calls.delete(effect.requestId);
        return;
      case 'decision':
        logDecision('control', effect.name, effect.fields);
        return;
      case 'persist':
      case 'persist-snapshot':
        this.persist(effect);
        return;
    }
  }

  /** Never fails: the storage tries until the write lasts. */
  private persist(effect: PersistEffect): void {
    const startedAtMs = performance.now();
    void this.storage.persist(effect).then(() => {
      const tookMs = Math.round(performance.now() - startedAtMs);
      if (tookMs > SLOW_WRITE_MS) {
        logDecision('control', 'slow write', { tookMs });
      }
      this.step({ type: 'persisted', writeId: effect.writeId });
    });
  }

  private receive(message: unknown, link: FrameLink): boolean {
    const parsed = parseControlInbound(message);
    if (parsed === undefined) {
      logDecision('control', 'link refused', { kind: 'malformed-message' });
      return false;
    }
    if (parsed.type !== 'subscribe') {
      this.step({ type: 'peer-message', message: parsed });
      return true;
    }
    const linkId = this.nextNumber;
    this.nextNumber += 1;
    this.feedLinks.set(linkId, link);
    this.linkIds.set(link, linkId);
    this.step({ type: 'subscribe', linkId, message: parsed });
    return true;
  }

  private forgetLink(link: FrameLink): void {
    const linkId = this.linkIds.get(link);
    if (linkId !== undefined) {
      this.linkIds.delete(link);
      this.feedLinks.delete(linkId);
      this.step({ type: 'link-closed', linkId });
    }
  }
}

const SLOW_WRITE_MS = 500;

/** A full disk can't be opened the first time; it is tried until it can. */
async function openDisk(
  options: GroupOptions,
  dataFolder: string,
): Promise<Result<ConsensusStorage, AmberliftError>> {
  const { linkAddress, seeds, isFirstStart } = options;
  const pause = () => sleep(RETRY_WRITE_AFTER_MS);
  const makeStorageId = isFirstMember(linkAddress, seeds, isFirstStart)
    ? () => FIRST_STORAGE_ID
    : undefined;
  for (let attempt = 1; ; attempt += 1) {
    try {
      const folder = await openStorageFolder(dataFolder);
      const opened = await ConsensusStorage.open(
        folder,
        formatAddress(linkAddress),
        makeStorageId,
        pause,
      );
      if (opened.isOk() || attempt >= MAX_OPEN_ATTEMPTS) {
        return opened;
      }
      logDecision('control', 'disk not opened', { attempt, reason: opened.error.message });
    } catch (cause) {
      logDecision('control', 'disk not opened', { attempt, reason: String(cause) });
    }
    await pause();
  }
}

const MAX_OPEN_ATTEMPTS = 300;
