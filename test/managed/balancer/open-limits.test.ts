/** @file What a balancer does with opens beyond its limits, and with back ends that refuse them. */
import t from 'tap';
import {
  accept,
  BACKENDS_PER_SERVICE,
  BalancerWorld,
  heard,
  isToBackend,
  refuse,
  serviceOf,
} from './balancer-world.js';

const authd = serviceOf(1);
const boardApi = serviceOf(2);

t.test(
  'with all back ends refusing, opens sent stay within 1.2 times those received',
  async (t) => {
    const world = new BalancerWorld([authd]);
    const received = 2_000;
    let sent = 0;
    let refused = 0;
    for (let number = 0; number < received; number += 1) {
      world.nowMs += 1;
      let effect = world.open(authd)[0];
      while (isToBackend(effect)) {
        sent += 1;
        effect = world.answer(effect, refuse)[0];
      }
      const answer = heard(effect);
      refused += Number(answer?.type === 'refuse' && answer.surelyNotRun);
    }
    t.equal(refused, received, 'each caller is told at once that nothing ran');
    t.ok(sent > received, `${sent} opens sent`);
    t.ok(sent <= 1.2 * received, `${sent} opens sent`);
    t.strictSame(
      [world.state.limits.sentOpens, world.state.limits.receivedOpens],
      [sent, received],
    );
    t.equal(world.state.pendingOpens.size, 0);
  },
);

t.test('an open that one back end refuses is accepted by another', async (t) => {
  const world = new BalancerWorld([authd]);
  const first = world.open(authd)[0];
  const second = isToBackend(first) ? world.answer(first, refuse)[0] : undefined;
  const answer = isToBackend(second) ? world.answer(second, accept)[0] : undefined;
  t.equal(heard(answer)?.type, 'accept');
  t.not(first?.to.host, second?.to.host);
});

t.test('a late refusal of a back end that was given up ends no later attempt', async (t) => {
  const world = new BalancerWorld([authd]);
  const first = world.open(authd)[0];
  world.nowMs += world.state.options.openAttemptTimeoutMs;
  const second = world.step({ type: 'tick' }).find((effect) => effect.type === 'send');
  t.strictSame(isToBackend(first) ? world.answer(first, refuse) : undefined, []);
  t.equal(world.state.pendingOpens.size, 1);
  t.equal(heard(isToBackend(second) ? world.answer(second, accept)[0] : undefined)?.type, 'accept');
});

t.test(
  'an open that nobody answers is given up before its deadline, with a time to come back',
  async (t) => {
    const world = new BalancerWorld([authd]);
    world.open(authd);
    let answer = undefined;
    for (let tick = 0; tick < 100 && answer === undefined; tick += 1) {
      world.nowMs += 20;
      answer = heard(world.step({ type: 'tick' }).find((effect) => effect.type === 'send'));
    }
    t.match(answer, { type: 'refuse', kind: 'no-backend-ready', surelyNotRun: true });
    t.ok(answer?.type === 'refuse' && (answer.retryAfterMs ?? 0) > 0);
    t.ok(world.nowMs < 10_000 + 2_000);
  },
);

t.test("one partner's pending opens never take the other's part of the table", async (t) => {
  const world = new BalancerWorld([authd, boardApi], { maxPendingOpens: 20 });
  const surge = Array.from({ length: 50 }, () => world.open(boardApi)[0]);
  t.equal(surge.filter(isToBackend).length, 10);
  t.match(heard(surge.at(-1)), { type: 'refuse', kind: 'overloaded', surelyNotRun: true });
  t.equal(Array.from({ length: 10 }, () => world.open(authd)[0]).filter(isToBackend).length, 10);
});

t.test(
  "one partner's surge never takes the other's opens a second, but what lies idle",
  async (t) => {
    const world = new BalancerWorld([authd, boardApi], { maxOpensPerSecond: 200 });
    const taken = new Map([
      [authd, 0],
      [boardApi, 0],
    ]);
    const openNow = (service: typeof authd): void => {
      const effect = world.open(service)[0];
      if (isToBackend(effect)) {
        world.answer(effect, accept);
        taken.set(service, (taken.get(service) ?? 0) + 1);
      }
    };
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 1) {
      world.nowMs += 1;
      openNow(boardApi);
      if (elapsedMs % 20 === 0) {
        openNow(authd);
      }
    }
    t.equal(taken.get(authd), 500, 'all 50 a second of the calm partner');
    const surgeTaken = taken.get(boardApi) ?? 0;
    t.ok(surgeTaken >= 1_500 && surgeTaken <= 1_700, `${surgeTaken} of the surge`);
  },
);

t.test(
  "a service's opens a second hold for the cluster: each live balancer takes its part",
  async (t) => {
    const limited = serviceOf(1, { limits: { opensPerSecond: 100 } });
    // A full bucket at the first open, and what fills it in the 1,999 ms from then on.
    for (const [balancerCount, wanted] of [
      [1, 299],
      [4, 74],
    ] as const) {
      const world = new BalancerWorld([limited]);
      world.state.fleet.balancerCount = balancerCount;
      let taken = 0;
      let refusal = undefined;
      for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 1) {
        world.nowMs += 1;
        const effect = world.open(limited)[0];
        taken += Number(isToBackend(effect));
        refusal = heard(effect) ?? refusal;
        if (isToBackend(effect)) {
          world.answer(effect, accept);
        }
      }
      t.equal(taken, wanted);
      t.match(refusal, { kind: 'rate-limited', surelyNotRun: true });
      t.ok(refusal?.type === 'refuse' && (refusal.retryAfterMs ?? Infinity) < 200);
    }
  },
);

t.test('no back end gets more connections than its service allows', async (t) => {
  const limited = serviceOf(1, { limits: { connectionsPerBackend: 5 } });
  const world = new BalancerWorld([limited]);
  const effects = Array.from({ length: 50 }, () => {
    const effect = world.open(limited)[0];
    return isToBackend(effect) ? [effect, world.answer(effect, accept)[0]] : [effect];
  });
  const perBackend = new Map<string, number>();
  for (const [first] of effects.filter((list) => isToBackend(list[0]))) {
    perBackend.set(first?.to.host ?? '', (perBackend.get(first?.to.host ?? '') ?? 0) + 1);
  }
  t.strictSame(
    [...perBackend.values()],
    Array.from({ length: BACKENDS_PER_SERVICE }, () => 5),
  );
  t.match(heard(effects.at(-1)?.[0]), { kind: 'no-backend-ready', surelyNotRun: true });
});
