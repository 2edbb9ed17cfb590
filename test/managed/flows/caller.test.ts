/** @file The caller's handling of single packets: answers, refusals, closes and duplicates. */
import t from 'tap';
import { seededRandom } from '../../../src/shared/common/random.js';
import {
  encodeLongHeader,
  encodeShortHeader,
  hasLongHeader,
  parseLongHeader,
  parseShortHeader,
} from '../../../src/managed/flow/header.js';
import { decodeMessage, encodeMessage, type Message } from '../../../src/managed/flow/messages.js';
import { TOKEN_LENGTH_BYTES } from '../../../src/managed/flow/token.js';
import {
  createCallerState,
  type CallerEffect,
  type CallerOptions,
} from '../../../src/proof/standins/caller-state.js';
import { callerStep } from '../../../src/proof/standins/caller-step.js';
import { answerParts } from '../../../src/proof/standins/workload.js';

const TOKEN = new Uint8Array(TOKEN_LENGTH_BYTES).fill(9);
const ANSWER_BYTES = 3_000;

/** A caller without a network; the test plays the balancer and the back end. */
class IsolatedCaller {
  readonly sent: Message[] = [];
  readonly outcomes: unknown[] = [];
  nowMs = 0;
  private readonly random = seededRandom(1);
  private readonly state;
  private flowId = new Uint8Array(0);

  constructor(options: Partial<CallerOptions>) {
    this.state = createCallerState(
      {
        serviceName: 'authd',
        requestCount: 2,
        firstRequestNumber: 100,
        answerBytes: ANSWER_BYTES,
        pauseMs: 10,
        requestDeadlineMs: 5_000,
        openDeadlineMs: 2_000,
        retransmitMs: 1_000,
        ...options,
      },
      0,
    );
  }

  get wrongAnswers(): number {
    return this.state.wrongAnswers;
  }

  tick(untilMs: number): void {
    for (; this.nowMs < untilMs; this.nowMs += 10) {
      this.perform(callerStep(this.state, { type: 'tick' }, this.context));
    }
  }

  /** Replies to the caller's last open. */
  replyToOpen(message: Message): void {
    const source = message.type === 'accept' ? TOKEN : new Uint8Array(0);
    this.receive(encodeLongHeader(this.flowId, source, encodeMessage(message)));
  }

  reply(message: Message): void {
    this.receive(encodeShortHeader(this.flowId, encodeMessage(message)));
  }

  sentMessages(type: Message['type']): Message[] {
    return this.sent.filter((message) => message.type === type);
  }

  private get context() {
    return { nowMs: this.nowMs, random: this.random };
  }

  private receive(packet: Uint8Array): void {
    this.perform(callerStep(this.state, { type: 'packet', packet }, this.context));
  }

  private perform(effects: readonly CallerEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'outcome') {
        this.outcomes.push(effect.outcome);
      } else if (effect.type === 'send' && hasLongHeader(effect.packet)) {
        const { sourceId, body } = parseLongHeader(effect.packet)._unsafeUnwrap();
        this.flowId = Uint8Array.from(sourceId);
        this.sent.push(decodeMessage(body)._unsafeUnwrap());
      } else if (effect.type === 'send') {
        const { body } = parseShortHeader(effect.packet, TOKEN_LENGTH_BYTES)._unsafeUnwrap();
        this.sent.push(decodeMessage(body)._unsafeUnwrap());
      }
    }
  }
}

function answerTo(requestId: number, requestNumber: number): Message[] {
  const work = { service: 'authd', requestNumber, answerBytes: ANSWER_BYTES };
  const parts = answerParts(work);
  return parts.map((payload, part) => ({
    type: 'answer',
    requestId,
    part,
    parts: parts.length,
    payload,
  }));
}

function openCaller(options: Partial<CallerOptions> = {}): IsolatedCaller {
  const caller = new IsolatedCaller(options);
  caller.tick(20);
  caller.replyToOpen({ type: 'accept', incarnation: 1 });
  caller.tick(40);
  return caller;
}

t.test('parts that arrive twice and in reverse order give one correct answer', async (t) => {
  const caller = openCaller();
  const parts = answerTo(1, 100).reverse();
  parts.slice(0, -1).forEach((part) => caller.reply(part));
  parts.slice(0, -1).forEach((part) => caller.reply(part));
  t.strictSame(caller.outcomes, [], 'no answer before the last part');
  parts.slice(-1).forEach((part) => caller.reply(part));
  t.match(caller.outcomes, [{ type: 'answered', requestNumber: 100 }]);
  t.equal(caller.wrongAnswers, 0);
});

t.test('a late answer to the first request is not used for the second one', async (t) => {
  const caller = openCaller();
  answerTo(1, 100).forEach((part) => caller.reply(part));
  caller.tick(100);
  t.equal(caller.sentMessages('request').length, 2, 'the second request was sent');
  const parts = answerTo(2, 101);
  parts.slice(0, 1).forEach((part) => caller.reply(part));
  answerTo(1, 100).forEach((part) => caller.reply(part));
  parts.slice(1).forEach((part) => caller.reply(part));
  t.match(caller.outcomes, [{ requestNumber: 100 }, { type: 'answered', requestNumber: 101 }]);
  t.equal(caller.wrongAnswers, 0);
});

t.test('an answer with wrong bytes is detected', async (t) => {
  const caller = openCaller();
  answerTo(1, 101).forEach((part) => caller.reply(part));
  t.equal(caller.wrongAnswers, 1);
});

t.test('a refused open is retried only after the retry delay', async (t) => {
  const caller = new IsolatedCaller({ requestCount: 1 });
  caller.tick(20);
  const refusal = { type: 'refuse', kind: 'overloaded', surelyNotRun: true } as const;
  caller.replyToOpen({ ...refusal, retryAfterMs: 700 });
  caller.tick(710);
  t.equal(caller.sentMessages('open').length, 1);
  caller.tick(800);
  t.equal(caller.sentMessages('open').length, 2);
});

t.test('a request that was not executed is retried on another flow', async (t) => {
  const caller = openCaller({ requestCount: 1 });
  const refusal = { type: 'refuse', kind: 'overloaded', surelyNotRun: true } as const;
  caller.reply({ ...refusal, requestId: 1, retryAfterMs: 300 });
  caller.tick(300);
  t.equal(caller.sentMessages('open').length, 1, 'not before the retry delay has passed');
  caller.tick(400);
  t.equal(caller.sentMessages('open').length, 2);
  caller.replyToOpen({ type: 'accept', incarnation: 1 });
  caller.tick(420);
  t.equal(caller.sentMessages('request').length, 2);
});

t.test('a request with unknown outcome is not retried', async (t) => {
  for (const interruption of [
    { type: 'close', kind: 'stale-incarnation' },
    { type: 'close', kind: 'unknown-flow' },
    { type: 'refuse', requestId: 1, kind: 'outcome-unknown', surelyNotRun: false },
    { type: 'close' },
  ] satisfies Message[]) {
    const caller = openCaller({ requestCount: 1 });
    caller.reply(interruption);
    caller.tick(20_000);
    t.match(caller.outcomes, [{ type: 'unknown', requestNumber: 100 }]);
    t.equal(caller.sentMessages('request').length, 1);
  }
});

t.test('each copy of a request carries the remaining time', async (t) => {
  const caller = openCaller({ requestCount: 1 });
  caller.tick(4_000);
  const remainingTimes = caller
    .sentMessages('request')
    .map((message) => (message.type === 'request' ? message.deadlineMs : 0));
  t.ok(remainingTimes.length >= 2);
  t.ok(
    remainingTimes.every(
      (time, copy) => copy === 0 || time < (remainingTimes[copy - 1] ?? 0) - 500,
    ),
  );
  caller.tick(6_000);
  t.match(caller.outcomes, [{ type: 'unknown', kind: 'deadline-exceeded' }]);
});
