/**
 * @file A control machine of a group without its sockets and its disk: it hands events to the group step
 * (`group/group-step.ts`) and carries out its effects through surroundings that are real in the daemon and virtual in the
 * simulator.
 *
 * Owns the calls that wait for their reply, by request ID, and the counts of replies. The state belongs to the step.
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

/** A call of a client without the number by which it is answered. */
export type GroupCall = DistributiveOmit<
  Extract<GroupEvent, { readonly requestId: RequestId }>,
  'requestId'
>;

/** What a control machine needs of the world. */
export interface GroupSurroundings {
  context(): StepContext;
  sendToPeer(to: Address, message: PeerMessage): void;
  sendFeed(linkId: LinkId, message: FeedMessage): void;
  /** Resolves once the write lasts; never rejects. */
  persist(effect: PersistEffect): Promise<void>;
  /** Writes the line of a decision. */
  logDecision(name: string, fields: DecisionFields): void;
}

/** Is called back with latencies, for metrics. */
export interface GroupObserver {
  /** A call got its reply after `latencyMs`. */
  onReplied(call: GroupCall['type'], latencyMs: number): void;
  /** A synced write took `latencyMs`. */
  onPersisted(latencyMs: number): void;
}

/** A control machine of a group. */
export class GroupProcess {
  private readonly calls = new Map<RequestId, (reply: GroupReply) => void>();
  private nextRequestId: RequestId = 1;
  /** Calls by kind and reply. */
  readonly counts: EventCounts = new Map();
  /** Set once somebody asks for metrics. */
  observer: GroupObserver | undefined;

  constructor(
    /** Read by tests and the simulator's checks. */
    readonly state: GroupState,
    private readonly surroundings: GroupSurroundings,
  ) {}

  /** Brings a call of a client into the group; `onReply` is called within the request deadline. */
  call(call: GroupCall, onReply: (reply: GroupReply) => void): void {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    const startedAtMs = this.surroundings.context().nowMs;
    this.calls.set(requestId, (reply) => {
      this.recordReply(call.type, reply.type, this.surroundings.context().nowMs - startedAtMs);
      onReply(reply);
    });
    this.step({ ...call, requestId });
  }

  handlePeerMessage(message: PeerMessage): void {
    this.step({ type: 'peer-message', message });
  }

  /** Handles a message of a balancer: it wants the feed on its link, acknowledges it, or reports its load. */
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

  /** Hands leadership over. */
  stop(): void {
    this.step({ type: 'stop' });
  }

  private recordReply(call: GroupCall['type'], reply: GroupReply['type'], latencyMs: number): void {
    countEvent(this.counts, `${call} ${reply}`);
    this.observer?.onReplied(call, latencyMs);
  }

  private persist(effect: PersistEffect): void {
    const startedAtMs = this.surroundings.context().nowMs;
    void this.surroundings.persist(effect).then(() => {
      this.observer?.onPersisted(this.surroundings.context().nowMs - startedAtMs);
      this.step({ type: 'persisted', writeId: effect.writeId });
    });
  }

  private step(event: GroupEvent): void {
    const effects = groupStep(this.state, event, this.surroundings.context());
    effects.forEach((effect) => this.perform(effect));
  }

  private perform(effect: GroupEffect): void {
    switch (effect.type) {
      case 'send-peer':
        this.surroundings.sendToPeer(effect.to, effect.message);
        return;
      case 'send-feed':
        this.surroundings.sendFeed(effect.linkId, effect.message);
        return;
      case 'reply':
        this.calls.get(effect.requestId)?.(effect.reply);
        this.calls.delete(effect.requestId);
        return;
      case 'decision':
        this.surroundings.logDecision(effect.name, effect.fields);
        return;
      case 'persist':
      case 'persist-snapshot':
        this.persist(effect);
        return;
    }
  }
}
