/** @file Answer stats derived from the packets of clients: answer times, short answers and stalled flows. */
import t from 'tap';
import { createAnswerRecorder } from '../../../src/registered/decisions/answer-recorder.js';
import { createAnswerSizes } from '../../../src/registered/decisions/answer-sizes.js';
import { relativeTimes } from '../../../src/registered/decisions/answer-times.js';
import { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import type { KnownBackend } from '../../../src/registered/ingress/known-backend.js';
import { observeAll } from '../../../src/registered/decisions/fleet-answer-stats.js';
import { FlowActivities } from '../../../src/registered/ingress/flow-activity.js';
import type { PacketView } from '../../../src/registered/ingress/packet-view.js';
import { PLAIN_PACKET } from '../ingress/client-packets.js';
import { recordOf, applyFirstHeartbeat } from './backend-records.js';

const FLOW = 'flow';
const IDLE_TIMEOUT_MS = 15_000;

function oneBackend(): KnownBackend {
  return applyFirstHeartbeat(new BackendTable(1_200), recordOf(1), 0);
}

function createFlows(isLinkFree = () => true) {
  const backend = oneBackend();
  const flows = new FlowActivities(() => IDLE_TIMEOUT_MS, 100, isLinkFree);
  const recordPacket = (changes: Partial<PacketView>, nowMs: number) =>
    flows.recordPacket(FLOW, backend, { ...PLAIN_PACKET, ...changes }, nowMs);
  return { backend, flows, recordPacket };
}

t.test(
  'measures an answer from the last data of its request to its first acknowledgement',
  async (t) => {
    const { backend, recordPacket } = createFlows();
    recordPacket({ dataLength: 800 }, 1_000);
    recordPacket({ sequence: 900, dataLength: 200 }, 1_010);
    t.equal(backend.local.busy, 1);
    recordPacket({ sequence: 1_100, acknowledged: 1_500 }, 1_060);
    recordPacket({ sequence: 1_100, acknowledged: 2_500 }, 1_090);
    const { answered, answerMs } = backend.local.answers.stats(1_060);
    t.equal(answered, 1);
    t.equal(answerMs, 50);
    t.equal(backend.local.busy, 0);
  },
);

t.test('counts an answer that the last packet of a flow acknowledges', async (t) => {
  const { backend, recordPacket } = createFlows();
  recordPacket({ dataLength: 800 }, 1_000);
  recordPacket({ sequence: 900, acknowledged: 1_200, isFinish: true }, 1_040);
  t.same(backend.local.answers.stats(1_040), { stalled: 0, answered: 1, answerMs: 40, short: 0 });
});

t.test('does not count an accepted open as an answer', async (t) => {
  const { backend, flows, recordPacket } = createFlows();
  flows.recordOpen(FLOW, backend, 1_000);
  recordPacket({ dataLength: 0 }, 1_010);
  t.equal(backend.local.answers.stats(1_010).answered, 0);
  t.equal(backend.local.busy, 1);
});

t.test('a retransmission marks a flow as stalled until the back end shows progress', async (t) => {
  const { backend, flows, recordPacket } = createFlows();
  flows.recordOpen(FLOW, backend, 1_000);
  flows.recordOpenCopy(FLOW, 1_200);
  t.equal(backend.local.answers.stats(1_200).stalled, 1);
  recordPacket({ dataLength: 800 }, 1_250);
  t.equal(backend.local.answers.stats(1_250).stalled, 0, 'the open was answered');
  recordPacket({ dataLength: 800 }, 1_450);
  t.equal(backend.local.answers.stats(1_450).stalled, 1, 'the request is not answered');
  recordPacket({ sequence: 900, acknowledged: 1_500 }, 1_500);
  const { stalled, answered } = backend.local.answers.stats(1_500);
  t.equal(stalled, 0);
  t.equal(answered, 0, 'the time of a lost packet is not counted');
});

t.test('a flow stops counting as stalled when it ends or its client gives up', async (t) => {
  const { backend, flows, recordPacket } = createFlows();
  recordPacket({ dataLength: 800 }, 1_000);
  recordPacket({ dataLength: 800 }, 1_200);
  t.equal(backend.local.answers.stats(1_200).stalled, 1);
  flows.sweep(4_000);
  t.equal(backend.local.answers.stats(4_000).stalled, 0);
  recordPacket({ sequence: 900, dataLength: 100 }, 4_100);
  recordPacket({ sequence: 900, dataLength: 100 }, 4_300);
  t.equal(backend.local.answers.stats(4_300).stalled, 1);
  recordPacket({ isReset: true }, 4_400);
  t.equal(backend.local.answers.stats(4_400).stalled, 0);
});

t.test("mutant: the wait for the balancer's own link counts as answer time", async (t) => {
  let isFree = false;
  const { backend, recordPacket } = createFlows(() => isFree);
  recordPacket({ dataLength: 800 }, 1_000);
  recordPacket({ dataLength: 800 }, 1_200);
  recordPacket({ sequence: 900, acknowledged: 1_500 }, 1_400);
  t.same(backend.local.answers.stats(1_400), { stalled: 0, answered: 0, answerMs: 0, short: 0 });
  isFree = true;
  recordPacket({ sequence: 900, acknowledged: 1_500, dataLength: 100 }, 1_500);
  recordPacket({ sequence: 1_000, acknowledged: 2_500 }, 1_540);
  t.match(backend.local.answers.stats(1_540), { answered: 1, answerMs: 40 });
});

t.test('answers decay, and very long ones are capped', async (t) => {
  const answers = createAnswerRecorder();
  answers.recordAnswer(7_000, 0);
  t.match(answers.stats(0), { answered: 1, answerMs: 1_000 });
  const later = answers.stats(12_000);
  t.ok(later.answered < 0.06 && later.answerMs < 60, `${later.answered}`);
});

t.test('a back end with few answers counts as nearly average', async (t) => {
  const table = new BackendTable(1_200);
  const all = [1, 2, 3].map((number) => applyFirstHeartbeat(table, recordOf(number), 0));
  t.same([...relativeTimes(observeAll(all, 0)).values()], [1, 1, 1]);
  const [first, second, third] = all;
  Object.assign(first?.fleet ?? {}, { answered: 40, answerMs: 800 });
  Object.assign(second?.fleet ?? {}, { answered: 40, answerMs: 2_400 });
  third?.local.answers.recordAnswer(280, 0);
  const [fast = 0, slow = 0, unknown = 0] = relativeTimes(observeAll(all, 0)).values();
  t.ok(fast < 0.6 && slow > 1.3, `${fast} ${slow}`);
  t.ok(unknown < slow + 0.4 && unknown > 1, `one slow answer: ${unknown}`);
});

t.test('detects answers far shorter than usual on their route', async (t) => {
  const sizes = createAnswerSizes();
  const usual = [800, 1_200, 2_000, 900];
  for (let index = 0; index < 40; index += 1) {
    t.notOk(sizes.isShort(1, usual[index % usual.length] ?? 0));
  }
  t.ok(sizes.isShort(1, 170));
  t.notOk(sizes.isShort(2, 170), 'each route has its own mean');
  for (let at = 0; at < 400; at += 1) {
    sizes.isShort(1, 170);
  }
  t.notOk(sizes.isShort(1, 170), 'the mean adapts when the answers of a route change');
});

t.test('fast errors do not make a back end count as fast', async (t) => {
  const { backend, recordPacket } = createFlows();
  let sequence = 100;
  let acknowledged = 500;
  let nowMs = 1_000;
  const sendRequest = (answerBytes: number, tookMs: number) => {
    recordPacket({ sequence, acknowledged, dataLength: 100 }, nowMs);
    sequence += 100;
    acknowledged += answerBytes;
    nowMs += tookMs;
    recordPacket({ sequence, acknowledged }, nowMs);
  };
  for (let at = 0; at < 20; at += 1) {
    sendRequest(1_000, 40);
  }
  const before = backend.local.answers.stats(nowMs);
  sendRequest(170, 3);
  const after = backend.local.answers.stats(nowMs);
  t.equal(after.short, 1);
  t.ok(after.answered <= before.answered, 'not counted as an answer of usual size');
  t.ok(Math.abs(after.answerMs / after.answered - 40) < 1e-6, 'its time is not counted');
});

t.test('ignores an acknowledgement that arrives out of order', async (t) => {
  const { backend, recordPacket } = createFlows();
  recordPacket({ sequence: 100, acknowledged: 5_000, dataLength: 100 }, 1_000);
  recordPacket({ sequence: 100, acknowledged: 3_800 }, 1_002);
  t.equal(backend.local.busy, 1, 'the request is still in progress');
  t.match(backend.local.answers.stats(1_002), { answered: 0, short: 0 });
  recordPacket({ sequence: 200, acknowledged: 6_000 }, 1_050);
  t.match(backend.local.answers.stats(1_050), { answered: 1, answerMs: 50 });
});

t.test('a copy read right after the first one does not mark the flow as stalled', async (t) => {
  const { backend, flows } = createFlows();
  flows.recordOpen(FLOW, backend, 1_000);
  flows.recordOpenCopy(FLOW, 1_010);
  t.equal(backend.local.answers.stats(1_010).stalled, 0, 'the back end had 10 ms to answer');
  flows.recordOpenCopy(FLOW, 1_410);
  t.equal(backend.local.answers.stats(1_410).stalled, 1);
});

t.test('detects a slowdown within two seconds', async (t) => {
  const answers = createAnswerRecorder();
  const meanMs = (nowMs: number) => {
    const { answered, answerMs } = answers.stats(nowMs);
    return answerMs / answered;
  };
  for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
    answers.recordAnswer(30, nowMs);
  }
  t.ok(Math.abs(answers.stats(20_000).answered - 40) < 2, 'about forty answers count');
  for (let nowMs = 20_000; nowMs < 22_000; nowMs += 100) {
    answers.recordAnswer(150, nowMs);
  }
  t.ok(meanMs(22_000) > 60, `${meanMs(22_000)} ms`);
});
