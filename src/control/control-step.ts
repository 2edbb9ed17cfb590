/**
 * @file The decision step of a control machine: operator commands go into the log, are synced, then
 * applied and published to balancers. This machine stands alone for now; the consensus step takes the
 * place of the persist effect once there are several.
 */
import { Packr } from 'msgpackr';
import { match } from 'ts-pattern';
import type { StepContext } from '../common/step.js';
import type { BalancerToControlMessage } from '../dissemination/link-messages.js';
import {
  createPublisher,
  handleSubscriberGone,
  handleSubscriberMessage,
  publishChanges,
  publisherTick,
  type LinkId,
  type LinkSendEffect,
  type PublisherState,
} from '../dissemination/publisher.js';
import { amberliftError } from '../flow/error-kinds.js';
import { applyCommand } from './apply-command.js';
import { emptyClusterState, type ClusterState } from './cluster-state.js';
import type { CommandEntry, CommandOutcome } from './commands.js';

const ONLY_TERM = 1;
const packr = new Packr({ useRecords: false });

/** Names a request of an operator while this process runs. */
export type RequestId = number;

interface Proposal {
  readonly requestId: RequestId | undefined;
  readonly entry: CommandEntry;
}

/** The state of a control machine. */
export interface ControlState {
  readonly cluster: ClusterState;
  readonly publisher: PublisherState;
  /** Proposals that wait for the write under way to end. */
  queued: Proposal[];
  /** Proposals whose write is under way. */
  writing: Proposal[];
}

/** What can happen to a control machine. */
export type ControlEvent =
  /** A command came; without request ID it is the system's own. */
  | { readonly type: 'propose'; readonly requestId?: RequestId; readonly entry: CommandEntry }
  /** The last persist effect is done; its records last. */
  | { readonly type: 'persisted' }
  /** The last persist effect failed. */
  | { readonly type: 'persist-failed'; readonly reason: string }
  | {
      readonly type: 'link-message';
      readonly linkId: LinkId;
      readonly message: BalancerToControlMessage;
    }
  | { readonly type: 'link-closed'; readonly linkId: LinkId }
  | { readonly type: 'tick' };

/** What a control machine's step asks of its surroundings. */
export type ControlEffect =
  | LinkSendEffect
  /** Append these records and sync them; answered by `persisted` or `persist-failed`. */
  | { readonly type: 'persist'; readonly records: readonly Uint8Array[] }
  | {
      readonly type: 'operator-reply';
      readonly requestId: RequestId;
      readonly outcome: CommandOutcome;
    };

/**
 * @param records the records that were recovered from disk, oldest first
 * @returns the state of a control machine that starts
 */
export function createControlState(
  clusterKey: string,
  records: readonly Uint8Array[],
): ControlState {
  const state: ControlState = {
    cluster: emptyClusterState(),
    publisher: createPublisher(clusterKey),
    queued: [],
    writing: [],
  };
  for (const record of records) {
    applyEntry(state, packr.unpack(record) as CommandEntry);
  }
  return state;
}

/**
 * Takes one event.
 * @returns the effects, in order
 */
export function controlStep(
  state: ControlState,
  event: ControlEvent,
  context: StepContext,
): ControlEffect[] {
  return match(event)
    .with({ type: 'propose' }, ({ requestId, entry }) => {
      state.queued.push({ requestId, entry });
      return writeQueued(state);
    })
    .with({ type: 'persisted' }, () => applyWritten(state))
    .with({ type: 'persist-failed' }, ({ reason }) => failWritten(state, reason))
    .with({ type: 'link-message' }, ({ linkId, message }) =>
      handleSubscriberMessage(state.publisher, linkId, message, state.cluster.routing),
    )
    .with({ type: 'link-closed' }, ({ linkId }) => {
      handleSubscriberGone(state.publisher, linkId);
      return [];
    })
    .with({ type: 'tick' }, () => publisherTick(state.publisher, context.nowMs))
    .exhaustive();
}

/** All proposals that wait share one write. */
function writeQueued(state: ControlState): ControlEffect[] {
  if (state.writing.length > 0 || state.queued.length === 0) {
    return [];
  }
  state.writing = state.queued;
  state.queued = [];
  const records = state.writing.map(({ entry }) => packr.pack(entry));
  return [{ type: 'persist', records }];
}

function applyWritten(state: ControlState): ControlEffect[] {
  const effects: ControlEffect[] = [];
  for (const { requestId, entry } of state.writing) {
    const { outcome, sends } = applyEntry(state, entry);
    effects.push(...sends);
    if (requestId !== undefined) {
      effects.push({ type: 'operator-reply', requestId, outcome });
    }
  }
  state.writing = [];
  return [...effects, ...writeQueued(state)];
}

function failWritten(state: ControlState, reason: string): ControlEffect[] {
  const error = amberliftError('storage-failed', `The log can't be written: ${reason}`);
  const failed = state.writing;
  state.writing = [];
  return failed.flatMap(({ requestId }): ControlEffect[] =>
    requestId === undefined
      ? []
      : [{ type: 'operator-reply', requestId, outcome: { accepted: false, error } }],
  );
}

function applyEntry(state: ControlState, entry: CommandEntry) {
  const position = { term: ONLY_TERM, index: state.cluster.index + 1 };
  const { outcome, changes } = applyCommand(state.cluster, position, entry);
  const sends = publishChanges(state.publisher, position, changes);
  return { outcome, sends };
}
