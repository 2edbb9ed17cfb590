/** @file Runs the step function of a single-node control cluster, with instantaneous disk writes. */
import { seededRandom } from '../../../src/shared/common/random.js';
import {
  SYSTEM_OPERATOR,
  type Command,
  type CommandOutcome,
} from '../../../src/managed/control/commands.js';
import type { ControlEvent } from '../../../src/managed/control/control-events.js';
import { controlStep, createControlState } from '../../../src/managed/control/control-step.js';
import type { LinkSendEffect } from '../../../src/managed/dissemination/publisher.js';

const TICK_MS = 20;

export class SingleControl {
  nowMs = 0;
  /** Receives the messages sent to balancers. */
  onLinkSend: (effect: LinkSendEffect) => void = () => undefined;
  readonly state = createControlState({
    nodeId: 'control-1',
    clusterKey: 'test-cluster-key',
    linkAddress: { host: '127.0.0.1', port: 7_000 },
    operatorAddress: { host: '127.0.0.1', port: 7_001 },
    peers: [],
    recovered: { storageId: 'disk-1', snapshot: undefined, records: [] },
  });
  private readonly random = seededRandom(1);
  private readonly outcomes = new Map<number, CommandOutcome>();
  private nextRequestId = 1;

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      this.tick();
    }
  }

  tick(): void {
    const freshSecret = new Uint8Array(16);
    this.step({ type: 'tick', wallTimeMs: Date.UTC(2026, 11, 2) + this.nowMs, freshSecret });
  }

  send(command: Command, operator = 'tarjeta'): CommandOutcome | undefined {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    const entry = { commandId: `id-${requestId}`, operator, command };
    this.step({ type: 'propose', requestId, entry });
    return this.outcomes.get(requestId);
  }

  setOperator(): void {
    const operators = [{ name: 'tarjeta', tokenHash: 'a' }];
    this.send({ type: 'set-operators', operators }, SYSTEM_OPERATOR);
  }

  define(service: string, port: number): void {
    const address = { host: '127.0.0.1', port };
    this.send({ type: 'define-service', service, address, policy: 'random', limits: {} });
  }

  step(event: ControlEvent): void {
    const context = { nowMs: this.nowMs, random: this.random };
    for (const effect of controlStep(this.state, event, context)) {
      if (effect.type === 'persist' || effect.type === 'persist-snapshot') {
        this.step({ type: 'persisted', writeId: effect.writeId });
      } else if (effect.type === 'operator-reply') {
        this.outcomes.set(effect.requestId, effect.outcome);
      } else if (effect.type === 'link-send') {
        this.onLinkSend(effect);
      }
    }
  }
}
