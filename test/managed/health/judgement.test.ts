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

/** One back end of a service, judged step by step. */
class Subject {
  nowMs = 0;
  readonly judgement = createJudgement('active');
  private reports = 0;

  constructor(readonly group: JudgementGroup = { size: 10, ejected: 0, failingProbes: 0 }) {}

  get state(): string {
    return this.judgement.state;
  }

  /** A probe each interval; loads differ each time where none is given. */
  probe(state: HealthReport['state'] | undefined, count = 1, given?: LoadReport): this {
    for (let number = 0; number < count; number += 1) {
      this.nowMs += PROBE_INTERVAL_MS;
      this.reports += 1;
      const health = state === undefined ? undefined : { incarnation: 1, state };
      const told = given ?? { ...load, connections: load.connections + this.reports };
      const evidence = { health, load: state === undefined ? undefined : told };
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

test('from start to drain', async (t) => {
  const subject = new Subject();
  t.equal(subject.state, 'starting', 'before any probe');
  t.equal(subject.probe('starting').state, 'starting');
  t.equal(subject.probe('ready').state, 'ready');
  t.equal(subject.judgement.slowStartAtMs, subject.nowMs, 'a back end seen starting is cold');
  t.equal(subject.probe('draining').state, 'draining');
  const warm = new Subject().probe('ready');
  t.equal(warm.judgement.slowStartAtMs, undefined, 'one that others use already is warm');
  updateAdminState(warm.judgement, 'draining', warm.group, warm.nowMs);
  t.equal(warm.state, 'draining', 'as soon as the operators want it');
  t.equal(warm.probe('ready', 5).state, 'draining', 'also where it ignores the drain');
});

test('probes that fail', async (t) => {
  const subject = new Subject().probe('ready').probe(undefined, 2);
  t.equal(subject.state, 'ready', 'two may be lost');
  t.equal(subject.probe(undefined).state, 'down');
  t.equal(subject.probe('ready').state, 'starting', 'one good probe is not enough after that');
  t.equal(subject.probe('ready').state, 'ready');

  const working = new Subject().probe('ready');
  for (let number = 0; number < 10; number += 1) {
    working.opens('accepted', 1).probe(undefined);
  }
  t.equal(working.state, 'ready', 'accepted opens outweigh failed probes');
  t.equal(working.judgement.reason, 'probes-fail-but-opens-succeed');

  const cutOff = new Subject({ size: 10, ejected: 0, failingProbes: 5 });
  cutOff.probe('ready').probe(undefined, 5);
  t.equal(cutOff.state, 'ready', 'where most probes fail it is the prober that is cut off');
  t.equal(cutOff.opens('timed-out', 3).probe(undefined).state, 'down', 'unless opens confirm it');
});

test('health says ready while opens time out', async (t) => {
  const subject = new Subject().probe('ready').opens('timed-out', 2);
  t.equal(subject.state, 'ready');
  t.equal(subject.opens('timed-out', 1).state, 'down');
  t.equal(subject.judgement.reason, 'opens-time-out');
  t.equal(subject.group.ejected, 1);
  t.equal(subject.probe('ready', 9).state, 'down', 'good probes alone do not bring it back');
  t.equal(subject.probe('ready').state, 'ready', 'it is tried again after 5 s');
  t.equal(subject.group.ejected, 0);
  t.equal(subject.judgement.slowStartAtMs, subject.nowMs, 'in slow start');
  t.equal(subject.opens('timed-out', 3).probe('ready', 19).state, 'down', 'then twice as long');
});

test('half of the opens time out', async (t) => {
  const subject = new Subject().probe('ready');
  for (let number = 0; number < 40; number += 1) {
    subject.opens('timed-out', 2).opens('accepted', 1);
  }
  t.equal(subject.state, 'down');
});

test('few are ejected at once', async (t) => {
  const group = { size: 10, ejected: 0, failingProbes: 0 };
  const subjects = Array.from({ length: 10 }, () => new Subject(group));
  subjects.forEach((subject) => subject.probe('ready').opens('timed-out', 20));
  t.equal(subjects.filter(({ state }) => state === 'down').length, 3);
  t.equal(group.ejected, 3);
  const alone = new Subject({ size: 1, ejected: 0, failingProbes: 0 });
  t.equal(alone.probe('ready').opens('timed-out', 20).state, 'ready', 'never the only one');
});

test('load says idle while it refuses', async (t) => {
  const idle = { ...load, connections: 0, busySlots: 0 };
  const subject = new Subject().probe('ready', 1, idle).opens('refused', 3);
  t.equal(subject.state, 'busy');
  t.equal(subject.judgement.trust.distrust, 'idle-but-refuses');
  t.equal(subject.probe('ready', 2, idle).state, 'ready', 'it is tried again');
  t.equal(subject.opens('refused', 1).state, 'busy', 'one refusal more and it is busy for longer');
  t.equal(subject.probe('ready', 1, idle).state, 'busy');
  subject.probe('ready', 2, idle).opens('accepted', 5);
  t.equal(subject.state, 'ready');
  t.equal(subject.judgement.trust.distrust, undefined, 'trust comes back with accepted opens');
});

test('reports that stand still', async (t) => {
  const subject = new Subject().probe('ready', 1, load);
  subject.opens('accepted', 10).probe('ready', 1, load);
  t.equal(subject.judgement.trust.distrust, undefined);
  subject.probe('ready', 1, load);
  t.equal(subject.judgement.trust.distrust, 'frozen', 'while opens are accepted');
  const full = { ...load, connections: load.connectionLimit };
  t.equal(subject.probe('ready', 1, full).state, 'ready', 'what is not believed makes none busy');
  t.equal(subject.probe('ready', 1).judgement.trust.distrust, undefined, 'they move again');
  const quiet = new Subject().probe('ready', 20, load);
  t.equal(quiet.judgement.trust.distrust, undefined, 'without opens they may stand still');
});

test('a back end that holds as many connections as it may', async (t) => {
  const full = { ...load, connections: load.connectionLimit };
  const almostFull = { ...load, connections: load.connectionLimit - 1 };
  const subject = new Subject().probe('ready').probe('ready', 1, full);
  t.equal(subject.state, 'busy');
  t.equal(subject.probe('ready', 1, almostFull).state, 'busy', 'until it is clearly below');
  t.equal(subject.probe('ready', 1, load).state, 'ready');
});

test('a flapping back end', async (t) => {
  const subject = new Subject();
  let changes = 0;
  for (let number = 0; number < 60; number += 1) {
    const before = subject.state;
    subject.probe(number % 4 < 2 ? 'ready' : 'starting');
    changes += Number(before !== 'ready' && subject.state === 'ready');
  }
  t.ok(changes <= 4, 'comes back ever more slowly, not at each turn');
  t.ok(subject.judgement.history.length <= 16, 'its history is bounded');
  t.equal(subject.probe('ready', 16).state, 'ready', 'and is ready once it is steady');
});

test('a new process at the same address', async (t) => {
  const subject = new Subject().probe('ready').opens('timed-out', 2).opens('refused', 2);
  updateOnOpenOutcome(subject.judgement, 'refused', 2, subject.group, subject.nowMs);
  t.equal(subject.state, 'ready', 'what its predecessor did is forgotten');
  t.equal(subject.judgement.slowStartAtMs, subject.nowMs);
});

test('the explanation of a back end', async (t) => {
  const subject = new Subject().probe('ready').opens('timed-out', 3);
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
