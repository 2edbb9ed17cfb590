/**
 * @file Input and output of a control machine: runs the decision step and performs its effects.
 */
import { randomBytes } from 'node:crypto';
import { TOKEN_KEY_LENGTH_BYTES } from '../flow/token.js';
import { match } from 'ts-pattern';
import { createOutboundLinks } from '../../shared/common/outbound-links.js';
import { createLinkTable } from '../../shared/common/link-table.js';
import { loggerFor } from '../../shared/common/logger.js';
import type { PersistEffect } from '../../shared/consensus/persisted-state.js';
import type { CommandEntry, CommandOutcome } from '../control/commands.js';
import type { MemberCommand } from '../control/control-events.js';
import {
  controlStep,
  type ControlEffect,
  type ControlEvent,
  type ControlState,
  type RequestId,
} from '../control/control-step.js';
import { parseControlLinkMessage } from './link-schemas.js';
import { countTraffic, type TrafficDirection } from '../dissemination/traffic.js';
import type { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import { connectLink, type LinkHandlers, type MessageLink } from './message-link.js';
import type { QueryAnswer } from './operator-api.js';
import { systemContextSource } from '../../shared/daemon/system-context.js';

/** Time between two ticks of the decision step, in milliseconds. */
const TICK_INTERVAL_MS = 20;
/** Delays between two tries to reach a peer, the first and the longest, in milliseconds. Not measured. */
const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;

/** A control machine's step with its links, its disk and the requests that wait for their outcome. */
export class ControlEdge implements LinkHandlers {
  private readonly contexts = systemContextSource();
  private readonly logger = loggerFor('consensus');
  private readonly peers = createOutboundLinks<MessageLink>({
    nowMs: () => performance.now(),
    dial: (to, onClose) => connectLink(to, { onMessage: () => false, onClose }),
    firstRetryDelayMs: FIRST_RETRY_DELAY_MS,
    maxRetryDelayMs: MAX_RETRY_DELAY_MS,
  });
  private readonly commands = new Map<RequestId, (outcome: CommandOutcome) => void>();
  private readonly queries = new Map<RequestId, (answer: QueryAnswer) => void>();
  private readonly links = createLinkTable<MessageLink>();
  private readonly timer: NodeJS.Timeout;
  private nextRequestId = 1;
  private lastRefusal: string | undefined;

  constructor(
    readonly state: ControlState,
    private readonly storage: ConsensusStorage,
  ) {
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  /** Runs one step and performs its effects. */
  step(event: ControlEvent): void {
    for (const effect of controlStep(this.state, event, this.contexts.now())) {
      this.perform(effect);
    }
  }

  /** Puts a command into the log; resolves with its outcome. */
  propose(entry: CommandEntry): Promise<CommandOutcome> {
    const requestId = this.allocateRequestId();
    return new Promise((resolve) => {
      this.commands.set(requestId, resolve);
      this.step({ type: 'propose', requestId, entry });
    });
  }

  /** Changes the control machines; resolves with the outcome. */
  changeMembers(command: MemberCommand): Promise<CommandOutcome> {
    const requestId = this.allocateRequestId();
    return new Promise((resolve) => {
      this.commands.set(requestId, resolve);
      this.step({ type: 'change-members', requestId, command });
    });
  }

  /** Resolves once a quorum has confirmed that this machine leads, or with why it does not. */
  query(): Promise<QueryAnswer> {
    const requestId = this.allocateRequestId();
    return new Promise((resolve) => {
      this.queries.set(requestId, resolve);
      this.step({ type: 'query', requestId });
    });
  }

  onMessage(value: unknown, link: MessageLink): boolean {
    const message = parseControlLinkMessage(value);
    if (message === undefined) {
      return false;
    }
    if (message.type === 'peer') {
      this.step({ type: 'peer-message', envelope: message });
    } else {
      this.step({ type: 'link-message', linkId: this.links.idOf(link), message });
    }
    return true;
  }

  onClose(link: MessageLink): void {
    const linkId = this.links.remove(link);
    if (linkId !== undefined) {
      this.step({ type: 'link-closed', linkId });
    }
  }

  onTraffic(direction: TrafficDirection, kind: string, bytes: number): void {
    countTraffic(this.state.traffic, direction, kind, bytes);
  }

  close(): void {
    clearInterval(this.timer);
    this.peers.close((link) => link.close());
  }

  private tick(): void {
    const freshSecret = randomBytes(TOKEN_KEY_LENGTH_BYTES);
    this.step({ type: 'tick', wallTimeMs: Date.now(), freshSecret });
    const { refusal } = this.state.join;
    if (refusal !== this.lastRefusal) {
      this.lastRefusal = refusal;
      this.logger.warn(`A peer refuses this machine: ${refusal ?? ''}`);
    }
  }

  private allocateRequestId(): RequestId {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return requestId;
  }

  private perform(effect: ControlEffect): void {
    match(effect)
      .with({ type: 'persist' }, { type: 'persist-snapshot' }, (write) => this.persist(write))
      .with({ type: 'peer-send' }, ({ address, envelope }) => this.peers.send(address, envelope))
      .with({ type: 'link-send' }, ({ linkId, message }) => this.links.find(linkId)?.send(message))
      .with({ type: 'operator-reply' }, ({ requestId, outcome }) => {
        this.commands.get(requestId)?.(outcome);
        this.commands.delete(requestId);
      })
      .with({ type: 'query-reply' }, ({ requestId, ...answer }) => {
        this.queries.get(requestId)?.(answer);
        this.queries.delete(requestId);
      })
      .with({ type: 'role-changed' }, () => this.logRole())
      .exhaustive();
  }

  private persist(effect: PersistEffect): void {
    const { writeId } = effect;
    this.storage.persist(effect).then(
      () => this.step({ type: 'persisted', writeId }),
      (cause: unknown) => {
        const reason = String(cause);
        this.logger.error(`storage-failed: this machine acknowledges nothing more: ${reason}`);
        this.step({ type: 'persist-failed', writeId, reason });
      },
    );
  }

  private logRole(): void {
    const { role, term, leaderId } = this.state.consensus;
    this.logger.info(`Now ${role.name} in term ${term}; leader ${leaderId ?? 'not known'}.`);
  }
}
