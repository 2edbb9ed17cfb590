/**
 * @file A control machine without sockets and disk: passes events to `group/group-step.ts` and performs the
 * resulting effects in an environment that is real in the daemon and virtual in the simulator.
 */
import type { Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import type { PersistEffect } from '../../shared/consensus/persisted-state.js';
import type { LinkId } from '../../shared/common/link-table.js';
import type { GroupEffect, GroupEvent, GroupReply, RequestId } from '../group/group-events.js';
import type { BalancerLinkMessage, FeedMessage, PeerMessage } from '../group/group-messages.js';
import type { GroupState } from '../group/group-state.js';
import { groupStep } from '../group/group-step.js';
import type { DecisionFields } from './decision-log.js';
import { countEvent, type EventCounts } from './event-counts.js';

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

/** A call of a client, without its request ID. */
export type GroupCall = DistributiveOmit<
  Extract<GroupEvent, { readonly requestId: RequestId }>,
  'requestId'
>;

/** Clock, network, disk and log of a control machine. */
export interface GroupEnvironment {
  context(): StepContext;
  sendToPeer(to: Address, message: PeerMessage): void;
  sendFeed(linkId: LinkId, message: FeedMessage): void;
  /** Resolves once the write is durable; never rejects. */
  persist(effect: PersistEffect): Promise<void>;
  /** Writes the log line of a decision. */
  logDecision(name: string, fields: DecisionFields): void;
}

/** Receives latencies, for metrics. */
export interface GroupObserver {
  /** Called when a call is answered. */
  onReplied(call: GroupCall['type'], latencyMs: number): void;
  /** Called when a synced write is complete. */
  onPersisted(latencyMs: number): void;
}

/** A control machine of a group. */
export class GroupProcess {
  private readonly pendingCalls = new Map<RequestId, (reply: GroupReply) => void>();
  private nextRequestId: RequestId = 1;
  /** Number of calls by kind and reply. */
  readonly counts: EventCounts = new Map();
  /** Set on the first scrape of metrics. */
  observer: GroupObserver | undefined;

  constructor(
    /** Exposed for metrics, tests and the checks of the simulator. */
    readonly state: GroupState,
    private readonly environment: GroupEnvironment,
  ) {}

  /** Performs a call of a client; `onReply` is called within the request deadline. */
  call(call: GroupCall, onReply: (reply: GroupReply) => void): void {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    const startedAtMs = this.environment.context().nowMs;
    this.pendingCalls.set(requestId, (reply) => {
      this.recordReply(call.type, reply.type, this.environment.context().nowMs - startedAtMs);
      onReply(reply);
    });
    this.step({ ...call, requestId });
  }

  handlePeerMessage(message: PeerMessage): void {
    this.step({ type: 'peer-message', message });
  }

  /** Handles a message of a balancer: a subscription to the feed, an acknowledgement or a load report. */
  handleBalancerMessage(linkId: LinkId, message: BalancerLinkMessage): void {
    switch (message.type) {
      case 'subscribe':
        this.step({ type: 'subscribe', linkId, message });
        return;
      case 'load-report':
        this.step({ type: 'load-report', linkId, message });
        return;
      case 'feed-taken':
        this.step({ type: 'feed-taken', linkId, message });
        return;
    }
  }

  closeLink(linkId: LinkId): void {
    this.step({ type: 'link-closed', linkId });
  }

  tick(): void {
    this.step({ type: 'tick' });
  }

  /** Transfers leadership. */
  stop(): void {
    this.step({ type: 'stop' });
  }

  private recordReply(call: GroupCall['type'], reply: GroupReply['type'], latencyMs: number): void {
    countEvent(this.counts, `${call} ${reply}`);
    this.observer?.onReplied(call, latencyMs);
  }

  private persist(effect: PersistEffect): void {
    const startedAtMs = this.environment.context().nowMs;
    void this.environment.persist(effect).then(() => {
      this.observer?.onPersisted(this.environment.context().nowMs - startedAtMs);
      this.step({ type: 'persisted', writeId: effect.writeId });
    });
  }

  private step(event: GroupEvent): void {
    const effects = groupStep(this.state, event, this.environment.context());
    effects.forEach((effect) => this.perform(effect));
  }

  private perform(effect: GroupEffect): void {
    switch (effect.type) {
      case 'send-peer':
        this.environment.sendToPeer(effect.to, effect.message);
        return;
      case 'send-feed':
        this.environment.sendFeed(effect.linkId, effect.message);
        return;
      case 'reply':
        this.pendingCalls.get(effect.requestId)?.(effect.reply);
        this.pendingCalls.delete(effect.requestId);
        return;
      case 'decision':
        this.environment.logDecision(effect.name, effect.fields);
        return;
      case 'persist':
      case 'persist-snapshot':
        this.persist(effect);
        return;
    }
  }
}
