/**
 * @file The daemon of a control machine of a group: owns its disk, its links (dialed ones to other control machines,
 * accepted ones from these and from balancers) and its timer, around the process that decides (`group-process.ts`). Calls
 * of back ends and operators come in through `call`.
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
import { createGroupState } from '../group/group-state.js';
import { packFeed } from '../group/wire/feed-codec.js';
import { isBalancerLinkMessage, type FeedMessage } from '../group/group-messages.js';
import { parseControlInbound } from '../group/message-schemas.js';
import type { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import type { RefusedEntry } from './call-listener.js';
import { logDecision, logLine } from './decision-log.js';
import { countEvent } from './event-counts.js';
import { openGroupDisk, persistToDisk } from './group-disk.js';
import { frameLinkOptions, FrameLinks, type FrameLink } from './frame-links.js';
import { GroupProcess, type GroupCall, type GroupSurroundings } from './group-process.js';
import { createRequestLog } from './request-log.js';
import { systemContextSource } from '../../shared/daemon/system-context.js';

/** Of the order of a heartbeat interval of the group (`group/timing.ts`: 38 to 150 ms). Not measured. */
const TICK_INTERVAL_MS = 50;
/**
 * A link to another control machine that could not be opened is tried again after this time, without backing off: there are
 * few, and an election waits for them. Not measured.
 */
const RETRY_LINK_AFTER_MS = 50;
/**
 * Time for the messages that hand leadership over to leave, in milliseconds: some round trips and a synced write. Not
 * measured; an election after each planned stop of a leader would show it too short.
 */
const STOP_DELAY_MS = 250;

/** Lines on refused entries: enough to see who sends them, and few beside those of decisions. Not measured. */
const REFUSAL_BUDGET = { linesPerSecond: 5, bytesPerSecond: 1_024 } as const;
/** Characters of a path in such a line; the names of back ends have 100 at most. */
const MAX_LOGGED_PATH = 150;

/** A running control machine. */
export class GroupDaemon {
  private readonly links: FrameLinks;
  private readonly feedLinks = createLinkTable<FrameLink>();
  private readonly peers = createOutboundLinks<FrameLink>({
    nowMs: () => performance.now(),
    // Nothing but pulses comes back on a link that was dialed.
    dial: (to, onClose) => this.links.connect(to, { onMessage: () => false, onClose }),
    firstRetryDelayMs: RETRY_LINK_AFTER_MS,
    maxRetryDelayMs: RETRY_LINK_AFTER_MS,
  });
  private readonly refusalLog = createRequestLog({
    nowMs: () => performance.now(),
    write: (name, fieldsText) => logLine('control', name, fieldsText),
    budget: REFUSAL_BUDGET,
  });
  /** Read by metrics. */
  readonly group: GroupProcess;
  private timer: NodeJS.Timeout | undefined;

  private constructor(options: GroupOptions, storage: ConsensusStorage) {
    this.links = new FrameLinks(frameLinkOptions(options.timing));
    const contexts = systemContextSource();
    const frameOf = createFeedEncoder();
    const surroundings: GroupSurroundings = {
      context: () => contexts.now(),
      sendToPeer: (to, message) => this.peers.send(to, message),
      sendFeed: (linkId, message) => this.feedLinks.find(linkId)?.sendFrame(frameOf(message)),
      persist: (effect) => persistToDisk(storage, effect),
      logDecision: (name, fields) => logDecision('control', name, fields),
    };
    const start = startNumberOf(randomInt(START_BOUND));
    const state = createGroupState(options, storage.recovered, start);
    this.group = new GroupProcess(state, surroundings);
  }

  /**
   * Opens the disk, waiting where it is full or does not answer, and starts.
   * @param listenAddress where to listen for links, where that is not the address that others use
   * @returns the daemon, or `storage-failed` where the disk is damaged
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

  /** Brings a call of a client into the group; resolves within the request deadline. */
  call(call: GroupCall): Promise<GroupReply> {
    return new Promise((resolve) => this.group.call(call, resolve));
  }

  /** Counts something of a back end that an adapter refused, and writes its line. */
  recordRefusal({ reason, path }: RefusedEntry): void {
    countEvent(this.group.counts, `entry refused:${reason}`);
    this.refusalLog.log('entry refused', { reason, path: path.slice(0, MAX_LOGGED_PATH) });
  }

  /** Replaces the seeds, by which this machine finds the group. */
  updateSeeds(seeds: readonly Address[]): void {
    this.group.state.announcements.setSeeds(seeds);
  }

  /** Hands leadership over and stops. */
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
      onClose: (link) => this.forgetLink(link),
    });
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    this.group.tick();
  }

  private tick(): void {
    this.group.tick();
    this.refusalLog.flush();
  }

  private receive(message: unknown, link: FrameLink): boolean {
    const parsed = parseControlInbound(message);
    if (parsed === undefined) {
      logDecision('control', 'link refused', { kind: 'malformed-message' });
      return false;
    }
    if (isBalancerLinkMessage(parsed)) {
      this.group.handleBalancerMessage(this.feedLinks.idOf(link), parsed);
    } else {
      this.group.handlePeerMessage(parsed);
    }
    return true;
  }

  private forgetLink(link: FrameLink): void {
    const linkId = this.feedLinks.remove(link);
    if (linkId !== undefined) {
      this.group.closeLink(linkId);
    }
  }
}

/** Messages that go to several balancers are one object, whose bytes are made once. */
function createFeedEncoder(): (message: FeedMessage) => Buffer {
  const frames = new WeakMap<FeedMessage, Buffer>();
  return (message) => {
    const frame = frames.get(message) ?? encodeFrame(packFeed(message));
    frames.set(message, frame);
    return frame;
  };
}
