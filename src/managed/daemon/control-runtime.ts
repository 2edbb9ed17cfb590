/**
 * @file Runs the state machine of a control machine: passes events to it and performs the effects that it returns.
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
import type { LeadershipConfirmation } from './operator-api.js';
import { systemContextSource } from '../../shared/daemon/system-context.js';

/** Interval of the tick events of the state machine. */
const TICK_INTERVAL_MS = 20;
/** Bounds of the exponential delay between attempts to connect to a peer. */
const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;

/** Connects the state machine with its links, its storage and the pending operator requests. */
export class ControlRuntime implements LinkHandlers {
  private readonly contextSource = systemContextSource();
  private readonly logger = loggerFor('consensus');
  private readonly peerLinks = createOutboundLinks<MessageLink>({
    nowMs: () => performance.now(),
    dial: (to, onClose) => connectLink(to, { onMessage: () => false, onClose }),
    firstRetryDelayMs: FIRST_RETRY_DELAY_MS,
    maxRetryDelayMs: MAX_RETRY_DELAY_MS,
  });
  private readonly pendingCommands = new Map<RequestId, (outcome: CommandOutcome) => void>();
  private readonly pendingQueries = new Map<RequestId, (answer: LeadershipConfirmation) => void>();
  private readonly inboundLinks = createLinkTable<MessageLink>();
  private readonly timer: NodeJS.Timeout;
  private nextRequestId = 1;
  private lastLoggedRefusal: string | undefined;

  constructor(
    readonly state: ControlState,
    private readonly storage: ConsensusStorage,
  ) {
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  /** Runs one step and performs its effects. */
  step(event: ControlEvent): void {
    for (const effect of controlStep(this.state, event, this.contextSource.now())) {
      this.perform(effect);
    }
  }

  /** Proposes a command for the replicated log; resolves with its outcome. */
  propose(entry: CommandEntry): Promise<CommandOutcome> {
    const requestId = this.allocateRequestId();
    return new Promise((resolve) => {
      this.pendingCommands.set(requestId, resolve);
      this.step({ type: 'propose', requestId, entry });
    });
  }

  /** Changes the members of the control cluster; resolves with the outcome. */
  changeMembers(command: MemberCommand): Promise<CommandOutcome> {
    const requestId = this.allocateRequestId();
    return new Promise((resolve) => {
      this.pendingCommands.set(requestId, resolve);
      this.step({ type: 'change-members', requestId, command });
    });
  }

  /** Resolves after a quorum has confirmed that this machine leads, or with an error. */
  confirmLeadership(): Promise<LeadershipConfirmation> {
    const requestId = this.allocateRequestId();
    return new Promise((resolve) => {
      this.pendingQueries.set(requestId, resolve);
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
      this.step({ type: 'link-message', linkId: this.inboundLinks.idOf(link), message });
    }
    return true;
  }

  onClose(link: MessageLink): void {
    const linkId = this.inboundLinks.remove(link);
    if (linkId !== undefined) {
      this.step({ type: 'link-closed', linkId });
    }
  }

  onTraffic(direction: TrafficDirection, kind: string, bytes: number): void {
    countTraffic(this.state.traffic, direction, kind, bytes);
  }

  close(): void {
    clearInterval(this.timer);
    this.peerLinks.close((link) => link.close());
  }

  private tick(): void {
    const freshSecret = randomBytes(TOKEN_KEY_LENGTH_BYTES);
    this.step({ type: 'tick', wallTimeMs: Date.now(), freshSecret });
    const { refusal } = this.state.join;
    if (refusal !== this.lastLoggedRefusal) {
      this.lastLoggedRefusal = refusal;
      if (refusal !== undefined) {
        this.logger.warn(`A peer rejected a message of this machine: ${refusal}`);
      }
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
      .with({ type: 'peer-send' }, ({ address, envelope }) =>
        this.peerLinks.send(address, envelope),
      )
      .with({ type: 'link-send' }, ({ linkId, message }) =>
        this.inboundLinks.find(linkId)?.send(message),
      )
      .with({ type: 'operator-reply' }, ({ requestId, outcome }) => {
        this.pendingCommands.get(requestId)?.(outcome);
        this.pendingCommands.delete(requestId);
      })
      .with({ type: 'query-reply' }, ({ requestId, ...answer }) => {
        this.pendingQueries.get(requestId)?.(answer);
        this.pendingQueries.delete(requestId);
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
        this.logger.error(
          `storage-failed: write failed, no further entries will be acknowledged: ${reason}`,
        );
        this.step({ type: 'persist-failed', writeId, reason });
      },
    );
  }

  private logRole(): void {
    const { role, term, leaderId } = this.state.consensus;
    this.logger.info(
      `Role changed to ${role.name} in term ${term}; leader: ${leaderId ?? 'unknown'}.`,
    );
  }
}
