/**
 * @file Drains a stand-in back end. It sends go-away to established flows at a bounded rate to avoid
 * a thundering herd, finishes running requests, and closes remaining flows after a grace period.
 */
import type { StepContext } from '../../shared/common/step.js';
import { closeFlow } from './backend-flows.js';
import { sendOnFlow, type BackendEffect } from './backend-send.js';
import {
  hasUnfinishedRequest,
  type BackendDrain,
  type BackendFlow,
  type BackendState,
} from './backend-state.js';
import { RetransmitTimer } from './retransmit-timer.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Schedules the drain. Idempotent: a repeated request does not restart it.
 */
export function requestDrain(state: BackendState, context: StepContext): BackendEffect[] {
  const { faults } = state.options;
  if (faults?.ignoresDrain === true) {
    return [];
  }
  state.drainDueAtMs ??= context.nowMs + (faults?.drainDelayMs ?? 0);
  return drainTick(state, context);
}

/**
 * Starts a due drain, sends and retransmits go-away, and closes flows without unfinished requests
 * once the grace period has ended.
 */
export function drainTick(state: BackendState, context: StepContext): BackendEffect[] {
  if (state.drain === undefined && context.nowMs >= (state.drainDueAtMs ?? Infinity)) {
    state.drain = startDrain(state, context);
    state.draining = true;
  }
  const { drain } = state;
  if (drain === undefined) {
    return [];
  }
  const effects = [...retransmitGoAways(state, context), ...sendNextGoAways(state, drain, context)];
  const isGraceOver = context.nowMs >= drain.startedAtMs + state.tuning.drainGraceMs;
  return isGraceOver ? [...effects, ...closeIdleFlows(state, context)] : effects;
}

function startDrain(state: BackendState, context: StepContext): BackendDrain {
  const flows = [...state.flows.values()];
  const feedFlows = flows.filter((flow) => flow.feeds.size > 0 && !flow.makesRequests);
  const requestFlows = flows.filter((flow) => flow.feeds.size === 0 || flow.makesRequests);
  return {
    startedAtMs: context.nowMs,
    pendingRequestFlows: requestFlows,
    pendingFeedFlows: feedFlows,
    requestFlowCount: requestFlows.length,
    feedFlowCount: feedFlows.length,
  };
}

function sendNextGoAways(
  state: BackendState,
  drain: BackendDrain,
  context: StepContext,
): BackendEffect[] {
  const { goAwaySpreadMs, feedMovesPerSecond } = state.tuning;
  const elapsedMs = context.nowMs - drain.startedAtMs;
  const requestFlowsDue = 1 + Math.floor((drain.requestFlowCount * elapsedMs) / goAwaySpreadMs);
  const feedFlowsDue = 1 + Math.floor((feedMovesPerSecond * elapsedMs) / MILLISECONDS_PER_SECOND);
  const requestFlowsNotified = drain.requestFlowCount - drain.pendingRequestFlows.length;
  const feedFlowsNotified = drain.feedFlowCount - drain.pendingFeedFlows.length;
  const next = [
    ...drain.pendingRequestFlows.splice(0, Math.max(0, requestFlowsDue - requestFlowsNotified)),
    ...drain.pendingFeedFlows.splice(0, Math.max(0, feedFlowsDue - feedFlowsNotified)),
  ];
  return next.filter((flow) => state.flows.has(flow.tokenKey)).map(sendGoAway);

  function sendGoAway(flow: BackendFlow): BackendEffect {
    flow.goAway = new RetransmitTimer({
      initialDelayMs: state.tuning.goAwayRetransmitMs,
      maxDelayMs: state.tuning.goAwayRetransmitMaxMs,
    });
    flow.goAway.restart(context);
    return sendOnFlow(state, flow, { type: 'go-away' });
  }
}

function retransmitGoAways(state: BackendState, context: StepContext): BackendEffect[] {
  const effects: BackendEffect[] = [];
  for (const flow of state.flows.values()) {
    if (flow.goAway?.isDue(context.nowMs) === true) {
      flow.goAway.backOff(context);
      effects.push(sendOnFlow(state, flow, { type: 'go-away' }));
    }
  }
  return effects;
}

function closeIdleFlows(state: BackendState, context: StepContext): BackendEffect[] {
  const idle = [...state.flows.values()].filter((flow) => !hasUnfinishedRequest(flow));
  return idle.map((flow) => {
    closeFlow(state, flow, context);
    return sendOnFlow(state, flow, { type: 'close', kind: 'backend-draining' });
  });
}
