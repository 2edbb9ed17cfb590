/**
 * @file Back ends that fail while their heartbeats and health are good: some take packets and show no sign of life,
 * some answer at once and say no.
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

/** @returns the numbers of those that are passed over */
function passedOver(
  failing: ReturnType<typeof createEjectionByAnswers>,
  all: readonly KnownBackend[],
  nowMs: number,
): number[] {
  failing.detect(observeAll(all, nowMs), nowMs);
  const sound = new Set(failing.withoutEjected(all, nowMs));
  return all.flatMap((backend, at) => (sound.has(backend) ? [] : [at + 1]));
}

function one(all: readonly KnownBackend[], number: number): KnownBackend {
  const backend = all[number - 1];
  if (backend === undefined) {
    throw new Error(`There is no back end ${number}.`);
  }
  return backend;
}

t.test('half of what is in progress there stalls, at two balancers', async (t) => {
  const all = backends(10);
  const failing = createEjectionByAnswers();
  Object.assign(one(all, 4).fleet, { stalled: 1, busy: 1 });
  t.same(passedOver(failing, all, 0), [], 'one flow may have lost its packets');
  one(all, 4).local.answers.changeStalled(1);
  one(all, 4).local.changeBusy(1);
  t.same(passedOver(failing, all, 0), [4]);
  Object.assign(one(all, 7).fleet, { stalled: 2, busy: 9 });
  t.same(passedOver(failing, all, 0), [4], 'others get answers of a busy one');
});

t.test(
  'it is tried again, and each time that it stalls again is passed over for longer',
  async (t) => {
    const all = backends(10);
    const failing = createEjectionByAnswers();
    let nowMs = 0;
    const heldForMs: number[] = [];
    for (let round = 0; round < 6; round += 1) {
      Object.assign(one(all, 4).fleet, { stalled: 2 });
      t.same(passedOver(failing, all, nowMs), [4]);
      Object.assign(one(all, 4).fleet, { stalled: 0 });
      const sinceMs = nowMs;
      while (passedOver(failing, all, nowMs).length > 0) {
        nowMs += 100;
      }
      heldForMs.push(nowMs - sinceMs);
    }
    t.same(heldForMs, [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
    Object.assign(one(all, 4).fleet, { stalled: 2 });
    t.same(passedOver(failing, all, nowMs), [4]);
    Object.assign(one(all, 4).fleet, { stalled: 0 });
    one(all, 4).local.recordProgress(nowMs + 50);
    t.same(passedOver(failing, all, nowMs + 100), [], 'somebody got something from it');
  },
);

t.test('what answers short is passed over, however fast it is', async (t) => {
  const all = backends(10);
  const failing = createEjectionByAnswers();
  all.forEach(({ fleet }) => Object.assign(fleet, { answered: 20, answerMs: 600, short: 0.5 }));
  t.same(passedOver(failing, all, 0), []);
  Object.assign(one(all, 3).fleet, { answered: 10, answerMs: 30, short: 8 });
  Object.assign(one(all, 5).fleet, { answered: 2, answerMs: 60, short: 2 });
  t.same(passedOver(failing, all, 0), [3], 'two are too few to say');
  t.same([...failing.ejectedByFailure(0)], [['answers-short', 1]]);
  const evidence = { stalled: 0, busy: 0, answered: 10, answerMs: 30, short: 8 };
  const news = [{ backendId: 'backend-3', failure: 'answers-short', holdMs: 1_000, evidence }];
  t.same(failing.takeEjections(), news, 'the logs say what it is held for');
  passedOver(failing, all, 100);
  t.same(failing.takeEjections(), [], 'once');
});

t.test('a route that is there for short answers has no back end that fails', async (t) => {
  const all = backends(10);
  const failing = createEjectionByAnswers();
  all.forEach(({ fleet }) => Object.assign(fleet, { answered: 10, answerMs: 300, short: 8 }));
  Object.assign(one(all, 3).fleet, { answered: 6, short: 12 });
  t.same(passedOver(failing, all, 0), []);
});

t.test('where most seem to fail, none is passed over', async (t) => {
  const all = backends(10);
  const failing = createEjectionByAnswers();
  all.slice(0, 4).forEach(({ fleet }) => Object.assign(fleet, { stalled: 3, busy: 3 }));
  t.same(passedOver(failing, all, 0), [1, 2, 3, 4]);
  Object.assign(one(all, 5).fleet, { stalled: 3, busy: 3 });
  t.same(passedOver(failing, all, 0), []);
});

t.test('what stalls on the way of other balancers is sound where answers come here', async (t) => {
  const all = backends(10);
  const failing = createEjectionByAnswers();
  Object.assign(one(all, 4).fleet, { stalled: 4, busy: 4 });
  one(all, 4).local.recordProgress(900);
  t.same(passedOver(failing, all, 1_000), []);
  t.same(passedOver(failing, all, 3_000), [4], 'nothing has come here for two seconds either');
});
