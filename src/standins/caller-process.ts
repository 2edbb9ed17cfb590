/**
 * @file Stand-in callers in one process: many sessions, each with a UDP socket of its own.
 */
import type { Address } from '../common/address.js';
import { systemContextSource } from '../daemon/system-context.js';
import { bindUdp } from '../daemon/udp-socket.js';
import { createCallerState, type CallerOptions, type RequestOutcome } from './caller-state.js';
import { callerStep, type CallerEvent } from './caller-step.js';

const TICK_INTERVAL_MS = 5;

/** What came of one session. */
export interface SessionReport {
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
  const socket = await bindUdp({ host, port: 0 }, (packet) => step({ type: 'packet', packet }));
  const step = (event: CallerEvent): void => {
    for (const effect of callerStep(state, event, contexts.now())) {
      if (effect.type === 'send') {
        socket.send(effect.packet, service);
      } else {
        outcomes.push(effect.outcome);
        onOutcome(effect.outcome);
      }
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
  return { outcomes, brokenFlows: state.brokenFlows, wrongAnswers: state.wrongAnswers };
}
