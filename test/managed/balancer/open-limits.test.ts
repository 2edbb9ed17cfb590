/** @file Limits of a balancer on opens, and retries when back ends refuse them. */
import t from 'tap';
import {
  accept,
  BACKENDS_PER_SERVICE,
  BalancerWorld,
  messageToCaller,
  isToBackend,
  refuse,
  makeService,
} from './balancer-world.js';

const authd = makeService(1);
const boardApi = makeService(2);

t.test('if all back ends refuse, at most 1.2 times the received opens are sent', async (t) => {
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
    const answer = messageToCaller(effect);
    refused += Number(answer?.type === 'refuse' && answer.surelyNotRun);
  }
  t.equal(refused, received, 'each caller is refused immediately, with surelyNotRun set');
  t.ok(sent > received, `${sent} opens sent`);
  t.ok(sent <= 1.2 * received, `${sent} opens sent`);
  t.strictSame([world.state.limits.sentOpens, world.state.limits.receivedOpens], [sent, received]);
  t.equal(world.state.pendingOpens.size, 0);
});

t.test('a refused open is retried on another back end', async (t) => {
  const world = new BalancerWorld([authd]);
  const first = world.open(authd)[0];
  const second = isToBackend(first) ? world.answer(first, refuse)[0] : undefined;
  const answer = isToBackend(second) ? world.answer(second, accept)[0] : undefined;
  t.equal(messageToCaller(answer)?.type, 'accept');
  t.not(first?.to.host, second?.to.host);
});

t.test('a late refusal from a timed-out back end does not end the current attempt', async (t) => {
  const world = new BalancerWorld([authd]);
  const first = world.open(authd)[0];
  world.nowMs += world.state.options.openAttemptTimeoutMs;
  const second = world.step({ type: 'tick' }).find((effect) => effect.type === 'send');
  t.strictSame(isToBackend(first) ? world.answer(first, refuse) : undefined, []);
  t.equal(world.state.pendingOpens.size, 1);
  t.equal(
    messageToCaller(isToBackend(second) ? world.answer(second, accept)[0] : undefined)?.type,
    'accept',
  );
});

t.test('an unanswered open is refused before its deadline, with a retry delay', async (t) => {
  const world = new BalancerWorld([authd]);
  world.open(authd);
  let answer = undefined;
  for (let tick = 0; tick < 100 && answer === undefined; tick += 1) {
    world.nowMs += 20;
    answer = messageToCaller(world.step({ type: 'tick' }).find((effect) => effect.type === 'send'));
  }
  t.match(answer, { type: 'refuse', kind: 'no-backend-ready', surelyNotRun: true });
  t.ok(answer?.type === 'refuse' && (answer.retryAfterMs ?? 0) > 0);
  t.ok(world.nowMs < 10_000 + 2_000);
});

t.test("one owner's pending opens do not use up another owner's share", async (t) => {
  const world = new BalancerWorld([authd, boardApi], { maxPendingOpens: 20 });
  const surge = Array.from({ length: 50 }, () => world.open(boardApi)[0]);
  t.equal(surge.filter(isToBackend).length, 10);
  t.match(messageToCaller(surge.at(-1)), {
    type: 'refuse',
    kind: 'overloaded',
    surelyNotRun: true,
  });
  t.equal(Array.from({ length: 10 }, () => world.open(authd)[0]).filter(isToBackend).length, 10);
});

t.test(
  "a surge of one owner uses idle capacity only, not another owner's share of the rate",
  async (t) => {
    const world = new BalancerWorld([authd, boardApi], { maxOpensPerSecond: 200 });
    const accepted = new Map([
      [authd, 0],
      [boardApi, 0],
    ]);
    const openNow = (service: typeof authd): void => {
      const effect = world.open(service)[0];
      if (isToBackend(effect)) {
        world.answer(effect, accept);
        accepted.set(service, (accepted.get(service) ?? 0) + 1);
      }
    };
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 1) {
      world.nowMs += 1;
      openNow(boardApi);
      if (elapsedMs % 20 === 0) {
        openNow(authd);
      }
    }
    t.equal(accepted.get(authd), 500, 'all opens of the other owner');
    const acceptedSurge = accepted.get(boardApi) ?? 0;
    t.ok(
      acceptedSurge >= 1_500 && acceptedSurge <= 1_700,
      `${acceptedSurge} opens of the surge accepted`,
    );
  },
);

t.test("a service's rate limit is split among the live balancers", async (t) => {
  const limited = makeService(1, { limits: { opensPerSecond: 100 } });
  // The full bucket at the first open, plus the refill during the following 1,999 ms.
  for (const [balancerCount, expected] of [
    [1, 299],
    [4, 74],
  ] as const) {
    const world = new BalancerWorld([limited]);
    world.state.fleet.balancerCount = balancerCount;
    let accepted = 0;
    let refusal = undefined;
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 1) {
      world.nowMs += 1;
      const effect = world.open(limited)[0];
      accepted += Number(isToBackend(effect));
      refusal = messageToCaller(effect) ?? refusal;
      if (isToBackend(effect)) {
        world.answer(effect, accept);
      }
    }
    t.equal(accepted, expected);
    t.match(refusal, { kind: 'rate-limited', surelyNotRun: true });
    t.ok(refusal?.type === 'refuse' && (refusal.retryAfterMs ?? Infinity) < 200);
  }
});

t.test('no back end exceeds the connection limit of its service', async (t) => {
  const limited = makeService(1, { limits: { connectionsPerBackend: 5 } });
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
  t.match(messageToCaller(effects.at(-1)?.[0]), { kind: 'no-backend-ready', surelyNotRun: true });
});
