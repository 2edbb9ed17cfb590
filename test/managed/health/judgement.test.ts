/** @file The judged state of a back end follows probes, opens and load reports, even if one of them is wrong. */
import { test } from 'tap';
import type { HealthReport, LoadReport } from '../../../src/managed/health/backend-report.js';
import { explainJudgement } from '../../../src/managed/health/explanation.js';
import {
  updateAdminState,
  updateOnOpenOutcome,
  updateOnProbe,
  type OpenOutcome,
} from '../../../src/managed/health/judgement.js';
import {
  createJudgement,
  type JudgementGroup,
} from '../../../src/managed/health/judgement-state.js';

const PROBE_INTERVAL_MS = 500;
const load: LoadReport = {
  connections: 100,
  connectionLimit: 2_000,
  busySlots: 1,
  slots: 2,
  queuedRequests: 0,
};

/** A back end of a service whose judgement is updated step by step. */
class JudgedBackend {
  nowMs = 0;
  readonly judgement = createJudgement('active');
  private reports = 0;

  constructor(readonly group: JudgementGroup = { size: 10, ejected: 0, failingProbes: 0 }) {}

  get state(): string {
    return this.judgement.state;
  }

  /** Applies one probe per interval. Without `fixedLoad` each report differs from the one before. */
  probe(state: HealthReport['state'] | undefined, count = 1, fixedLoad?: LoadReport): this {
    for (let number = 0; number < count; number += 1) {
      this.nowMs += PROBE_INTERVAL_MS;
      this.reports += 1;
      const health = state === undefined ? undefined : { incarnation: 1, state };
      const reportedLoad = fixedLoad ?? { ...load, connections: load.connections + this.reports };
      const evidence = { health, load: state === undefined ? undefined : reportedLoad };
      updateOnProbe(this.judgement, evidence, this.group, this.nowMs);
    }
    return this;
  }

  opens(outcome: OpenOutcome, count: number): this {
    for (let number = 0; number < count; number += 1) {
      this.nowMs += 1;
      updateOnOpenOutcome(this.judgement, outcome, undefined, this.group, this.nowMs);
    }
    return this;
  }
}

test('state changes from start to drain', async (t) => {
  const subject = new JudgedBackend();
  t.equal(subject.state, 'starting', 'before any probe');
  t.equal(subject.probe('starting').state, 'starting');
  t.equal(subject.probe('ready').state, 'ready');
  t.equal(
    subject.judgement.slowStartAtMs,
    subject.nowMs,
    'a back end that was seen starting is cold',
  );
  t.equal(subject.probe('draining').state, 'draining');
  const warm = new JudgedBackend().probe('ready');
  t.equal(
    warm.judgement.slowStartAtMs,
    undefined,
    'a back end with connections when first seen is warm',
  );
  updateAdminState(warm.judgement, 'draining', warm.group, warm.nowMs);
  t.equal(warm.state, 'draining', 'an operator drain takes effect at once');
  t.equal(warm.probe('ready', 5).state, 'draining', 'even if the back end still reports ready');
});

test('failed probes take a back end down unless opens contradict them', async (t) => {
  const subject = new JudgedBackend().probe('ready').probe(undefined, 2);
  t.equal(subject.state, 'ready', 'two failed probes are tolerated');
  t.equal(subject.probe(undefined).state, 'down');
  t.equal(
    subject.probe('ready').state,
    'starting',
    'one successful probe is not enough after that',
  );
  t.equal(subject.probe('ready').state, 'ready');

  const working = new JudgedBackend().probe('ready');
  for (let number = 0; number < 10; number += 1) {
    working.opens('accepted', 1).probe(undefined);
  }
  t.equal(working.state, 'ready', 'accepted opens outweigh failed probes');
  t.equal(working.judgement.reason, 'probes-fail-but-opens-succeed');

  const cutOff = new JudgedBackend({ size: 10, ejected: 0, failingProbes: 5 });
  cutOff.probe('ready').probe(undefined, 5);
  t.equal(cutOff.state, 'ready', 'if most probes fail, the network of the prober is at fault');
  t.equal(
    cutOff.opens('timed-out', 3).probe(undefined).state,
    'down',
    'unless timeouts of opens confirm it',
  );
});

test('ejects a back end that reports ready while opens time out', async (t) => {
  const subject = new JudgedBackend().probe('ready').opens('timed-out', 2);
  t.equal(subject.state, 'ready');
  t.equal(subject.opens('timed-out', 1).state, 'down');
  t.equal(subject.judgement.reason, 'opens-time-out');
  t.equal(subject.group.ejected, 1);
  t.equal(subject.probe('ready', 9).state, 'down', 'successful probes do not end the ejection');
  t.equal(subject.probe('ready').state, 'ready', 'the ejection ends after 5 s');
  t.equal(subject.group.ejected, 0);
  t.equal(subject.judgement.slowStartAtMs, subject.nowMs, 'slow start begins');
  t.equal(
    subject.opens('timed-out', 3).probe('ready', 19).state,
    'down',
    'the next ejection lasts twice as long',
  );
});

test('ejects a back end when half of its opens time out', async (t) => {
  const subject = new JudgedBackend().probe('ready');
  for (let number = 0; number < 40; number += 1) {
    subject.opens('timed-out', 2).opens('accepted', 1);
  }
  t.equal(subject.state, 'down');
});

test('limits how many back ends are ejected at once', async (t) => {
  const group = { size: 10, ejected: 0, failingProbes: 0 };
  const subjects = Array.from({ length: 10 }, () => new JudgedBackend(group));
  subjects.forEach((subject) => subject.probe('ready').opens('timed-out', 20));
  t.equal(subjects.filter(({ state }) => state === 'down').length, 3);
  t.equal(group.ejected, 3);
  const alone = new JudgedBackend({ size: 1, ejected: 0, failingProbes: 0 });
  t.equal(
    alone.probe('ready').opens('timed-out', 20).state,
    'ready',
    'the only back end is never ejected',
  );
});

test('distrusts reports of an idle back end that refuses opens', async (t) => {
  const idle = { ...load, connections: 0, busySlots: 0 };
  const subject = new JudgedBackend().probe('ready', 1, idle).opens('refused', 3);
  t.equal(subject.state, 'busy');
  t.equal(subject.judgement.trust.distrust, 'idle-but-refuses');
  t.equal(subject.probe('ready', 2, idle).state, 'ready', 'the busy period ends');
  t.equal(subject.opens('refused', 1).state, 'busy', 'another refusal starts a longer busy period');
  t.equal(subject.probe('ready', 1, idle).state, 'busy');
  subject.probe('ready', 2, idle).opens('accepted', 5);
  t.equal(subject.state, 'ready');
  t.equal(subject.judgement.trust.distrust, undefined, 'accepted opens restore trust');
});

test('distrusts frozen load reports', async (t) => {
  const subject = new JudgedBackend().probe('ready', 1, load);
  subject.opens('accepted', 10).probe('ready', 1, load);
  t.equal(subject.judgement.trust.distrust, undefined);
  subject.probe('ready', 1, load);
  t.equal(subject.judgement.trust.distrust, 'frozen', 'equal reports while opens are accepted');
  const full = { ...load, connections: load.connectionLimit };
  t.equal(
    subject.probe('ready', 1, full).state,
    'ready',
    'a distrusted report does not make a back end busy',
  );
  t.equal(
    subject.probe('ready', 1).judgement.trust.distrust,
    undefined,
    'changing reports restore trust',
  );
  const quiet = new JudgedBackend().probe('ready', 20, load);
  t.equal(quiet.judgement.trust.distrust, undefined, 'equal reports without opens are normal');
});

test('a back end at its connection limit is busy', async (t) => {
  const full = { ...load, connections: load.connectionLimit };
  const almostFull = { ...load, connections: load.connectionLimit - 1 };
  const subject = new JudgedBackend().probe('ready').probe('ready', 1, full);
  t.equal(subject.state, 'busy');
  t.equal(
    subject.probe('ready', 1, almostFull).state,
    'busy',
    'until utilization is clearly below the limit',
  );
  t.equal(subject.probe('ready', 1, load).state, 'ready');
});

test('a flapping back end returns to service more slowly', async (t) => {
  const subject = new JudgedBackend();
  let changes = 0;
  for (let number = 0; number < 60; number += 1) {
    const before = subject.state;
    subject.probe(number % 4 < 2 ? 'ready' : 'starting');
    changes += Number(before !== 'ready' && subject.state === 'ready');
  }
  t.ok(changes <= 4, 'not every ready report brings it back');
  t.ok(subject.judgement.history.length <= 16, 'the history is bounded');
  t.equal(subject.probe('ready', 16).state, 'ready', 'it is ready after enough ready probes');
});

test('a new process at the same address starts without the old evidence', async (t) => {
  const subject = new JudgedBackend().probe('ready').opens('timed-out', 2).opens('refused', 2);
  updateOnOpenOutcome(subject.judgement, 'refused', 2, subject.group, subject.nowMs);
  t.equal(subject.state, 'ready', 'refusals and timeouts of the old process do not count');
  t.equal(subject.judgement.slowStartAtMs, subject.nowMs);
});

test('explains the state of a back end', async (t) => {
  const subject = new JudgedBackend().probe('ready').opens('timed-out', 3);
  const explanation = explainJudgement(7, subject.judgement, subject.nowMs + 100);
  t.match(explanation, {
    backendId: 7,
    state: 'down',
    reason: 'opens-time-out',
    forMs: 100,
    openTimeoutsInRow: 3,
    distrust: undefined,
  });
  t.match(explanation.sentence, /opens sent there time out/);
  t.same(
    explanation.history.map(({ from, to, reason }) => [from, to, reason]),
    [
      ['starting', 'ready', 'reports-ready'],
      ['ready', 'down', 'opens-time-out'],
    ],
  );
});
