/**
 * @file Event handler of a stand-in caller, without I/O, so that it runs in processes and simulators. It
 * retries a request only if it did not run, and reports every outcome and notice.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../../shared/common/step.js';
import {
  FLOW_ID_LENGTH_BYTES,
  hasLongHeader,
  parseShortHeader,
} from '../../managed/flow/header.js';
import { decodeMessage, type Message } from '../../managed/flow/messages.js';
import { feedTick, handleFeedRefusal, handleNotice, handleSubscribed } from './caller-feed.js';
import { flowsTick, handleClose, handleOpenReply } from './caller-flows.js';
import { handleAnswer, handleRequestRefusal, requestTick } from './caller-request.js';
import {
  closeFlow,
  findFlow,
  hasStartedAllRequests,
  retireFlow,
  sendOnFlow,
  type CallerEffect,
  type CallerState,
  type OpenFlow,
} from './caller-state.js';

export type { CallerEffect } from './caller-state.js';

/** Input of a caller. */
export type CallerEvent =
  { readonly type: 'packet'; readonly packet: Uint8Array } | { readonly type: 'tick' };

/**
 * Handles one event; a finished caller ignores it.
 * @returns the effects, in order
 */
export function callerStep(
  state: CallerState,
  event: CallerEvent,
  context: StepContext,
): CallerEffect[] {
  if (state.finished) {
    return [];
  }
  return match(event)
    .with({ type: 'packet' }, ({ packet }) => [
      ...(hasLongHeader(packet)
        ? handleOpenReply(state, packet, context)
        : handleFlowPacket(state, packet, context)),
      ...advance(state, context),
    ])
    .with({ type: 'tick' }, () => advance(state, context))
    .exhaustive();
}

/** Performs all work that is due. */
function advance(state: CallerState, context: StepContext): CallerEffect[] {
  return [
    ...requestTick(state, context),
    ...feedTick(state, context),
    ...flowsTick(state, context),
    ...finishIfDone(state, context),
  ];
}

function finishIfDone(state: CallerState, context: StepContext): CallerEffect[] {
  const { request, feed, flow } = state;
  const isDone = request === undefined && hasStartedAllRequests(state, context.nowMs);
  if (!isDone || feed !== undefined) {
    return [];
  }
  state.finished = true;
  const flows = flow.phase === 'open' ? [...state.retiringFlows, flow] : [...state.retiringFlows];
  return flows.map((open) => closeFlow(state, open, context.nowMs));
}

function handleFlowPacket(
  state: CallerState,
  packet: Uint8Array,
  context: StepContext,
): CallerEffect[] {
  const header = parseShortHeader(packet, FLOW_ID_LENGTH_BYTES);
  if (header.isErr()) {
    return [];
  }
  const message = decodeMessage(header.value.body);
  if (message.isErr()) {
    return [];
  }
  const { destinationId } = header.value;
  const newest = state.flow.phase === 'open' ? [state.flow] : [];
  const flow = findFlow([...newest, ...state.retiringFlows], destinationId);
  if (flow !== undefined) {
    return handleMessage(state, flow, message.value, context);
  }
  const closed = findFlow(state.closedFlows, destinationId);
  const needsClose = closed !== undefined && message.value.type !== 'close';
  return needsClose ? [sendOnFlow(closed, { type: 'close' })] : [];
}

function handleMessage(
  state: CallerState,
  flow: OpenFlow,
  message: Message,
  context: StepContext,
): CallerEffect[] {
  return match(message)
    .with({ type: 'answer', parts: 0 }, (notice) => handleNotice(state, flow, notice, context))
    .with({ type: 'answer' }, (answer) => handleAnswer(state, flow, answer, context))
    .with({ type: 'subscribed' }, (confirmed) => handleSubscribed(state, flow, confirmed, context))
    .with(
      { type: 'refuse' },
      (refusal) =>
        handleFeedRefusal(state, flow, refusal, context) ??
        handleRequestRefusal(state, flow, refusal, context),
    )
    .with({ type: 'go-away' }, () => {
      if (state.options.ignoresGoAway !== true) {
        retireFlow(state, flow, context.nowMs);
      }
      return [];
    })
    .with({ type: 'close' }, ({ kind }) => handleClose(state, flow, kind, context))
    .otherwise(() => []);
}
