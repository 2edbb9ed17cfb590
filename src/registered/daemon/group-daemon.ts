/**
 * @file Daemon of a control machine: owns the disk, the links (dialed to other control machines, accepted from
 * these and from balancers) and the timer around `group-process.ts`.
 */
import { randomInt } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import type { Address } from '../../shared/common/address.js';
import { createOutboundLinks } from '../../shared/common/outbound-links.js';
import { encodeFrame } from '../../shared/common/frame-codec.js';
import { createLinkTable } from '../../shared/common/link-table.js';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import { START_BOUND, startNumberOf } from '../group/calls/forward-ids.js';
import type { GroupReply } from '../group/group-events.js';
import type { GroupOptions } from '../group/group-options.js';
import { createGroupState, type GroupState } from '../group/group-state.js';
import { packFeed } from '../group/wire/feed-codec.js';
import {
  isBalancerLinkMessage,
  senderAddressOf,
  type FeedMessage,
  type PeerMessage,
} from '../group/group-messages.js';
import { parseControlInbound } from '../group/message-schemas.js';
import type { OmittedEntry } from '../group/wire/omitted-entries.js';
import type { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import type { RefusedRequest } from './call-listener.js';
import { logDecision, logLine } from './decision-log.js';
import { countEvent } from './event-counts.js';
import { openGroupDisk, persistToDisk } from './group-disk.js';
import { frameLinkOptions, FrameLinks, type FrameLink } from './frame-links.js';
import { GroupProcess, type GroupCall, type GroupEnvironment } from './group-process.js';
import { createRequestLog } from './request-log.js';
import { systemContextSource } from '../../shared/daemon/system-context.js';

/** About a heartbeat interval of the group (`group/timing.ts`). */
const TICK_INTERVAL_MS = 50;
/** Without backoff: control machines are few, and an election may wait for the link. */
const LINK_RETRY_DELAY_MS = 50;
/** Time for the leadership transfer: a few round trips and a synced write. */
const STOP_DELAY_MS = 250;

/** Log budget for refused requests of back ends. */
const REFUSAL_LOG_BUDGET = { linesPerSecond: 5, bytesPerSecond: 1_024 } as const;
/** Characters of a logged path, which may name a back end of any length. */
const MAX_LOGGED_PATH_LENGTH = 150;

/** A running control machine. */
export class GroupDaemon {
  private readonly links: FrameLinks;
  private readonly feedLinks = createLinkTable<FrameLink>();
  private readonly peers = createOutboundLinks<FrameLink>({
    nowMs: () => performance.now(),
    // Dialed links carry only keep-alives in return.
    dial: (to, onClose) => this.links.connect(to, { onMessage: () => false, onClose }),
    firstRetryDelayMs: LINK_RETRY_DELAY_MS,
    maxRetryDelayMs: LINK_RETRY_DELAY_MS,
  });
  private readonly refusalLog = createRequestLog({
    nowMs: () => performance.now(),
    write: (name, fieldsText) => logLine('control', name, fieldsText),
    budget: REFUSAL_LOG_BUDGET,
  });
  /** Exposed for metrics. */
  readonly group: GroupProcess;
  private timer: NodeJS.Timeout | undefined;

  private constructor(options: GroupOptions, storage: ConsensusStorage) {
    this.links = new FrameLinks(frameLinkOptions(options.timing));
    const contexts = systemContextSource();
    const frameOf = createFeedEncoder();
    const environment: GroupEnvironment = {
      context: () => contexts.now(),
      sendToPeer: (to, message) => this.peers.send(to, message),
      sendFeed: (linkId, message) => this.feedLinks.find(linkId)?.sendFrame(frameOf(message)),
      persist: (effect) => persistToDisk(storage, effect),
      logDecision: (name, fields) => logDecision('control', name, fields),
    };
    const start = startNumberOf(randomInt(START_BOUND));
    const state = createGroupState(options, storage.recovered, start);
    logUnreadableConfig(state);
    this.group = new GroupProcess(state, environment);
  }

  /**
   * Opens the disk, with retries, and starts the daemon.
   * @param listenAddress address to bind, if it differs from the advertised link address
   * @returns the daemon, or `storage-failed` if the disk is damaged
   */
  static async start(
    options: GroupOptions,
    dataFolder: string,
    listenAddress: Address = options.linkAddress,
  ): Promise<Result<GroupDaemon, AmberliftError>> {
    const opened = await openGroupDisk(options, dataFolder);
    const created = opened.map((storage) => new GroupDaemon(options, storage));
    if (created.isOk()) {
      await created.value.run(listenAddress);
    }
    return created;
  }

  /** Performs a call of a client; resolves within the request deadline. */
  call(call: GroupCall): Promise<GroupReply> {
    return new Promise((resolve) => this.group.call(call, resolve));
  }

  /** Counts and logs a request of a back end that an adapter refused. */
  recordRefusal({ reason, path }: RefusedRequest): void {
    countEvent(this.group.counts, `entry refused:${reason}`);
    this.refusalLog.log('entry refused', { reason, path: path.slice(0, MAX_LOGGED_PATH_LENGTH) });
  }

  /** Counts and logs an entry of a message that was left out; the rest of the message applies. */
  private recordOmitted({ kind, entry, reason }: OmittedEntry): void {
    countEvent(this.group.counts, `entry omitted:${kind}`);
    this.refusalLog.log('entry omitted', { kind, entry, reason });
  }

  /** Replaces the seeds, through which this machine finds the group. */
  updateSeeds(seeds: readonly Address[]): void {
    this.group.state.announcements.setSeeds(seeds);
  }

  /** Transfers leadership and stops. */
  async stop(): Promise<void> {
    this.group.stop();
    await sleep(STOP_DELAY_MS);
    clearInterval(this.timer);
    this.peers.close((link) => link.close());
    this.links.close();
  }

  private async run(listenAddress: Address): Promise<void> {
    await this.links.listen(listenAddress, {
      onMessage: (message, link) => this.receive(message, link),
      onClose: (link) => this.handleClose(link),
    });
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    this.group.tick();
  }

  private tick(): void {
    this.group.tick();
    this.refusalLog.flush();
  }

  private receive(message: unknown, link: FrameLink): boolean {
    const parsed = parseControlInbound(message, (omitted) => this.recordOmitted(omitted));
    if (parsed === undefined) {
      logDecision('control', 'link refused', { kind: 'malformed-message' });
      return false;
    }
    if (isBalancerLinkMessage(parsed)) {
      this.group.handleBalancerMessage(this.feedLinks.idOf(link), parsed);
    } else {
      this.redialIfHeard(parsed);
      this.group.handlePeerMessage(parsed);
    }
    return true;
  }

  /** After a power loss, links to machines that came back later are still being dialled; answers would wait for them. */
  private redialIfHeard(message: PeerMessage): void {
    const from = senderAddressOf(message);
    if (this.group.state.options.redialsHeardPeers === true && from !== undefined) {
      this.peers.recordHeard(from, (link) => link.close());
    }
  }

  private handleClose(link: FrameLink): void {
    const linkId = this.feedLinks.remove(link);
    if (linkId !== undefined) {
      this.group.closeLink(linkId);
    }
  }
}

/** A committed configuration that can't be read, as after a downgrade, is not in force until a later one is declared. */
function logUnreadableConfig({ replicated, configs }: GroupState): void {
  const version = replicated.config?.version;
  if (version !== undefined && configs.version !== version) {
    logDecision('control', 'config unreadable', { version, kept: configs.version });
  }
}

/** Encodes a message that is sent to several balancers only once. */
function createFeedEncoder(): (message: FeedMessage) => Buffer {
  const frames = new WeakMap<FeedMessage, Buffer>();
  return (message) => {
    const frame = frames.get(message) ?? encodeFrame(packFeed(message));
    frames.set(message, frame);
    return frame;
  };
}
