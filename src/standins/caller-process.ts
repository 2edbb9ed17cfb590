/**
 * @file Stand-in callers in one process: many sessions, each with a UDP socket of its own.
 */
import { match } from 'ts-pattern';
import type { Address } from '../common/address.js';
import { systemContextSource } from '../daemon/system-context.js';
import { bindUdp } from '../daemon/udp-socket.js';
import { createCallerState, type CallerOptions, type RequestOutcome } from './caller-state.js';
import { callerStep, type CallerEvent } from './caller-step.js';
import { summarizeNotices, type NoticeSummary } from './notice-summary.js';

const TICK_INTERVAL_MS = 5;

/** What came of one session. */
export interface SessionReport extends NoticeSummary {
  readonly outcomes: RequestOutcome[];
  readonly brokenFlows: number;
  readonly wrongAnswers: number;
}

/**
 * Runs one session to its end; bounded by its options' deadlines.
 * @param host IP number to bind
 * @param onOutcome called with each request's outcome
 */
export async function runSession(
  options: CallerOptions,
  service: Address,
  host: string,
  onOutcome: (outcome: RequestOutcome) => void = () => undefined,
): Promise<SessionReport> {
  const contexts = systemContextSource();
  const state = createCallerState(options, contexts.now().nowMs);
  const outcomes: RequestOutcome[] = [];
  const notices: number[] = [];
  const socket = await bindUdp({ host, port: 0 }, (packet) => step({ type: 'packet', packet }));
  const step = (event: CallerEvent): void => {
    for (const effect of callerStep(state, event, contexts.now())) {
      match(effect)
        .with({ type: 'send' }, ({ packet }) => socket.send(packet, service))
        .with({ type: 'outcome' }, ({ outcome }) => {
          outcomes.push(outcome);
          onOutcome(outcome);
        })
        .with({ type: 'notice' }, ({ number }) => notices.push(number))
        .with({ type: 'notices-missed' }, () => undefined)
        .exhaustive();
    }
  };
  await new Promise<void>((resolve) => {
    const timer = setInterval(() => {
      step({ type: 'tick' });
      if (state.finished) {
        clearInterval(timer);
        resolve();
      }
    }, TICK_INTERVAL_MS);
  });
  await socket.close();
  const { feed } = options;
  const noticeSummary = summarizeNotices(notices, feed?.afterNotice ?? 0, feed?.lastNotice ?? 0);
  const { brokenFlows, wrongAnswers } = state;
  return { outcomes, brokenFlows, wrongAnswers, ...noticeSummary };
}
