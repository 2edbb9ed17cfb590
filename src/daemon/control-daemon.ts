/**
 * @file The control daemon: disk, links, the operator interface and timers around the control
 * machine's decision step.
 */
import { randomBytes } from 'node:crypto';
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import type { Address } from '../common/address.js';
import { loggerFor } from '../common/logger.js';
import { operatorTokenHash } from '../control/command-hash.js';
import { SYSTEM_OPERATOR, type CommandEntry, type CommandOutcome } from '../control/commands.js';
import {
  controlStep,
  createControlState,
  type ControlEffect,
  type ControlEvent,
  type ControlState,
  type RequestId,
} from '../control/control-step.js';
import type { BalancerToControlMessage } from '../dissemination/link-messages.js';
import { amberliftError, type AmberliftError } from '../flow/error-kinds.js';
import { TOKEN_KEY_LENGTH_BYTES } from '../flow/token.js';
import type { Settings } from '../settings/settings-schema.js';
import { listenHttp } from './http-server.js';
import { listenForLinks, type LinkHandlers, type MessageLink } from './message-link.js';
import { operatorApi } from './operator-api.js';
import { openRecordFile, type RecordFile } from './record-file.js';
import { systemContextSource } from './system-context.js';

const LOG_FILE_NAME = 'commands.log';
const TICK_INTERVAL_MS = 50;
const FIRST_KEY_ID = 1;

/** A running control daemon. */
export interface ControlDaemon {
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  stop(): Promise<void>;
}

/**
 * Starts a control daemon.
 * @returns the daemon, or `invalid-settings` where it has no data folder
 */
export async function startControlDaemon(
  settings: Settings,
): Promise<Result<ControlDaemon, AmberliftError>> {
  const { dataFolder, clusterKey, control, nodeId } = settings;
  if (dataFolder === undefined) {
    return err(amberliftError('invalid-settings', 'dataFolder: a control machine needs one.'));
  }
  await mkdir(dataFolder, { recursive: true });
  const file = await openRecordFile(join(dataFolder, LOG_FILE_NAME));
  const state = createControlState(clusterKey, file.recovered);
  const edge = new ControlEdge(state, file);
  if (state.cluster.index === 0) {
    await bootstrap(edge, settings);
  }
  const links = await listenForLinks(control.linkAddress, edge);
  const http = await listenHttp(
    control.operatorAddress,
    operatorApi({
      state: state.cluster,
      propose: (entry) => edge.propose(entry),
      subscribers: () => [...state.publisher.subscribers.values()],
    }),
  );
  const timer = setInterval(() => edge.step({ type: 'tick' }), TICK_INTERVAL_MS);
  loggerFor('control').info(`Control machine ${nodeId} is ready at index ${state.cluster.index}.`);
  return ok({
    linkAddress: links.address,
    operatorAddress: http.address,
    stop: async () => {
      clearInterval(timer);
      await Promise.all([links.close(), http.close()]);
      await file.close();
    },
  });
}

/** Input and output of a control machine. */
class ControlEdge implements LinkHandlers {
  private readonly contexts = systemContextSource();
  private readonly waiting = new Map<RequestId, (outcome: CommandOutcome) => void>();
  private readonly linkIds = new Map<MessageLink, number>();
  private readonly links = new Map<number, MessageLink>();
  private nextRequestId = 1;
  private nextLinkId = 1;

  constructor(
    private readonly state: ControlState,
    private readonly file: RecordFile,
  ) {}

  /** Runs one step and performs its effects. */
  step(event: ControlEvent): void {
    for (const effect of controlStep(this.state, event, this.contexts.now())) {
      this.perform(effect);
    }
  }

  /** Puts a command into the log; resolves with its outcome. */
  propose(entry: CommandEntry): Promise<CommandOutcome> {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return new Promise((resolve) => {
      this.waiting.set(requestId, resolve);
      this.step({ type: 'propose', requestId, entry });
    });
  }

  onMessage(message: unknown, link: MessageLink): void {
    const linkId = this.idOf(link);
    this.step({ type: 'link-message', linkId, message: message as BalancerToControlMessage });
  }

  onClose(link: MessageLink): void {
    const linkId = this.idOf(link);
    this.linkIds.delete(link);
    this.links.delete(linkId);
    this.step({ type: 'link-closed', linkId });
  }

  private idOf(link: MessageLink): number {
    const known = this.linkIds.get(link);
    if (known !== undefined) {
      return known;
    }
    const linkId = this.nextLinkId;
    this.nextLinkId += 1;
    this.linkIds.set(link, linkId);
    this.links.set(linkId, link);
    return linkId;
  }

  private perform(effect: ControlEffect): void {
    match(effect)
      .with({ type: 'persist' }, ({ records }) => {
        this.file.append(records).then(
          () => this.step({ type: 'persisted' }),
          (cause: unknown) => this.step({ type: 'persist-failed', reason: String(cause) }),
        );
      })
      .with({ type: 'link-send' }, ({ linkId, message }) => this.links.get(linkId)?.send(message))
      .with({ type: 'operator-reply' }, ({ requestId, outcome }) => {
        this.waiting.get(requestId)?.(outcome);
        this.waiting.delete(requestId);
      })
      .exhaustive();
  }
}

/** Puts operators and the first token key into the log of a new cluster. */
async function bootstrap(edge: ControlEdge, settings: Settings): Promise<void> {
  const operators = settings.control.operators.map(({ name, token }) => ({
    name,
    tokenHash: operatorTokenHash(token),
  }));
  await edge.propose({
    commandId: 'bootstrap-operators',
    operator: SYSTEM_OPERATOR,
    command: { type: 'set-operators', operators },
  });
  await edge.propose({
    commandId: 'bootstrap-token-key',
    operator: SYSTEM_OPERATOR,
    command: {
      type: 'set-token-key',
      id: FIRST_KEY_ID,
      secret: randomBytes(TOKEN_KEY_LENGTH_BYTES),
      state: 'current',
    },
  });
}
