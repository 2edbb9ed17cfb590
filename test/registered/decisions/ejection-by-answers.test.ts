/**
 * @file Ejection of back ends that fail while their heartbeats and health checks succeed: some stall, some
 * answer fast with errors.
 */
import t from 'tap';
import { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import type { KnownBackend } from '../../../src/registered/ingress/known-backend.js';
import { createEjectionByAnswers } from '../../../src/registered/decisions/ejection/by-answers.js';
import { observeAll } from '../../../src/registered/decisions/fleet-answer-stats.js';
import { recordOf } from './backend-records.js';

function backends(count: number): KnownBackend[] {
  const table = new BackendTable(1_200);
  for (let number = 1; number <= count; number += 1) {
    table.applyRecord({ record: recordOf(number), ageMs: 0 }, 0);
  }
  return [...table.all()];
}

/** @returns the numbers of the ejected back ends */
function ejectedNumbers(
  ejection: ReturnType<typeof createEjectionByAnswers>,
  all: readonly KnownBackend[],
  nowMs: number,
): number[] {
  ejection.detect(observeAll(all, nowMs), nowMs);
  const kept = new Set(ejection.withoutEjected(all, nowMs));
  return all.flatMap((backend, at) => (kept.has(backend) ? [] : [at + 1]));
}

function backendAt(all: readonly KnownBackend[], number: number): KnownBackend {
  const backend = all[number - 1];
  if (backend === undefined) {
    throw new Error(`There is no back end ${number}.`);
  }
  return backend;
}

t.test('ejects a back end where half of its requests stall, over two balancers', async (t) => {
  const all = backends(10);
  const ejection = createEjectionByAnswers();
  Object.assign(backendAt(all, 4).fleet, { stalled: 1, busy: 1 });
  t.same(ejectedNumbers(ejection, all, 0), [], 'a single flow may have lost its packets');
  backendAt(all, 4).local.answers.changeStalled(1);
  backendAt(all, 4).local.changeBusy(1);
  t.same(ejectedNumbers(ejection, all, 0), [4]);
  Object.assign(backendAt(all, 7).fleet, { stalled: 2, busy: 9 });
  t.same(ejectedNumbers(ejection, all, 0), [4], 'a busy back end still answers others');
});

t.test('doubles the hold with each further failure, up to a limit', async (t) => {
  const all = backends(10);
  const ejection = createEjectionByAnswers();
  let nowMs = 0;
  const holdsMs: number[] = [];
  for (let round = 0; round < 6; round += 1) {
    Object.assign(backendAt(all, 4).fleet, { stalled: 2 });
    t.same(ejectedNumbers(ejection, all, nowMs), [4]);
    Object.assign(backendAt(all, 4).fleet, { stalled: 0 });
    const sinceMs = nowMs;
    while (ejectedNumbers(ejection, all, nowMs).length > 0) {
      nowMs += 100;
    }
    holdsMs.push(nowMs - sinceMs);
  }
  t.same(holdsMs, [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
  Object.assign(backendAt(all, 4).fleet, { stalled: 2 });
  t.same(ejectedNumbers(ejection, all, nowMs), [4]);
  Object.assign(backendAt(all, 4).fleet, { stalled: 0 });
  backendAt(all, 4).local.recordProgress(nowMs + 50);
  t.same(ejectedNumbers(ejection, all, nowMs + 100), [], 'progress ends the ejection');
});

t.test('ejects a back end with short answers, however fast', async (t) => {
  const all = backends(10);
  const ejection = createEjectionByAnswers();
  all.forEach(({ fleet }) => Object.assign(fleet, { answered: 20, answerMs: 600, short: 0.5 }));
  t.same(ejectedNumbers(ejection, all, 0), []);
  Object.assign(backendAt(all, 3).fleet, { answered: 10, answerMs: 30, short: 8 });
  Object.assign(backendAt(all, 5).fleet, { answered: 2, answerMs: 60, short: 2 });
  t.same(ejectedNumbers(ejection, all, 0), [3], 'two short answers are too few');
  t.same([...ejection.ejectedByFailure(0)], [['answers-short', 1]]);
  const evidence = { stalled: 0, busy: 0, answered: 10, answerMs: 30, short: 8 };
  const ejections = [{ backendId: 'backend-3', failure: 'answers-short', holdMs: 1_000, evidence }];
  t.same(ejection.takeEjections(), ejections, 'reports the ejection with its evidence');
  ejectedNumbers(ejection, all, 100);
  t.same(ejection.takeEjections(), [], 'reported only once');
});

t.test('ejects none where short answers are usual at all back ends', async (t) => {
  const all = backends(10);
  const ejection = createEjectionByAnswers();
  all.forEach(({ fleet }) => Object.assign(fleet, { answered: 10, answerMs: 300, short: 8 }));
  Object.assign(backendAt(all, 3).fleet, { answered: 6, short: 12 });
  t.same(ejectedNumbers(ejection, all, 0), []);
});

t.test('ejects none above the cap', async (t) => {
  const all = backends(10);
  const ejection = createEjectionByAnswers();
  all.slice(0, 4).forEach(({ fleet }) => Object.assign(fleet, { stalled: 3, busy: 3 }));
  t.same(ejectedNumbers(ejection, all, 0), [1, 2, 3, 4]);
  Object.assign(backendAt(all, 5).fleet, { stalled: 3, busy: 3 });
  t.same(ejectedNumbers(ejection, all, 0), []);
});

t.test('progress at this balancer outweighs stalls at others', async (t) => {
  const all = backends(10);
  const ejection = createEjectionByAnswers();
  Object.assign(backendAt(all, 4).fleet, { stalled: 4, busy: 4 });
  backendAt(all, 4).local.recordProgress(900);
  t.same(ejectedNumbers(ejection, all, 1_000), []);
  t.same(ejectedNumbers(ejection, all, 3_000), [4], 'no progress here for two seconds');
});
