/** @file A control machine that stands alone: an address may change services once the fence lets it. */
import t from 'tap';
import { seededRandom } from '../../src/common/random.js';
import { SYSTEM_OPERATOR, type Command, type CommandOutcome } from '../../src/control/commands.js';
import { controlStep, createControlState } from '../../src/control/control-step.js';
import type { ControlEvent } from '../../src/control/control-events.js';
import { LEASE_DURATION_MS, LEASE_MARGIN_MS } from '../../src/dissemination/lease.js';
import { addCommand } from './control-world.js';

const TICK_MS = 20;
const ADDRESS = { host: '127.0.0.1', port: 9_000 };

/** Runs the step of one machine whose disk is as fast as its memory. */
class SingleControl {
  nowMs = 0;
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
      const freshSecret = new Uint8Array(16);
      this.step({ type: 'tick', wallTimeMs: Date.UTC(2026, 11, 2) + this.nowMs, freshSecret });
    }
  }

  send(command: Command, operator = 'tarjeta'): CommandOutcome | undefined {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    const entry = { commandId: `id-${requestId}`, operator, command };
    this.step({ type: 'propose', requestId, entry });
    return this.outcomes.get(requestId);
  }

  private step(event: ControlEvent): void {
    const context = { nowMs: this.nowMs, random: this.random };
    for (const effect of controlStep(this.state, event, context)) {
      if (effect.type === 'persist' || effect.type === 'persist-snapshot') {
        this.step({ type: 'persisted', writeId: effect.writeId });
      } else if (effect.type === 'operator-reply') {
        this.outcomes.set(effect.requestId, effect.outcome);
      }
    }
  }
}

function defineService(service: string, port: number): Command {
  const address = { host: '127.0.0.1', port };
  return { type: 'define-service', service, address, policy: 'random', limits: {} };
}

t.test('an address that left a service joins another one after a lease', async (t) => {
  const control = new SingleControl();
  control.run(2_000);
  control.send(
    { type: 'set-operators', operators: [{ name: 'tarjeta', tokenHash: 'a' }] },
    SYSTEM_OPERATOR,
  );
  control.send(defineService('authd', 5_000));
  control.send(defineService('settled', 5_001));
  const added = control.send(addCommand('authd', ADDRESS));
  const backendId = added?.accepted === true ? (added.backendId ?? 0) : 0;
  control.run(2 * LEASE_DURATION_MS);
  control.send({ type: 'drain-backend', backendId });
  t.equal(control.send({ type: 'retire-backend', backendId })?.accepted, true);

  control.run(LEASE_DURATION_MS);
  t.equal(control.send(addCommand('settled', ADDRESS))?.accepted, false, 'a lease may still run');
  control.run(2 * LEASE_MARGIN_MS + 3_000);
  t.equal(control.send(addCommand('settled', ADDRESS))?.accepted, true);
});
