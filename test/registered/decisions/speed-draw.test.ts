/**
 * @file Who waits where back ends are of unequal speed, or some turn slow: a third of them does its work in two fifths
 * of the time of the others, and the crest of the demand takes four tenths of all slots.
 */
import t from 'tap';
import { defaultSwitches } from '../../../src/registered/decisions/mechanism-switches.js';
import { playChoiceLoad, type ChoiceOutcome } from './choice-load.js';

const leastLoad = { ...defaultSwitches, choice: 'least-load' } as const;
const UNEQUAL = Array.from({ length: 30 }, (_, at) => [0.7, 0.7, 1.7][at % 3] ?? 1);
const EQUAL = Array.from({ length: 30 }, () => 1);
const SEEDS = [1, 2, 3];

function mean({ tookMs }: ChoiceOutcome): number {
  return tookMs.reduce((sum, ms) => sum + ms, 0) / tookMs.length;
}

function quantile({ tookMs }: ChoiceOutcome, share: number): number {
  return tookMs[Math.floor(tookMs.length * share)] ?? Infinity;
}

t.test('a crest of demand before a fast third: callers wait for less', async (t) => {
  for (const seed of SEEDS) {
    const load = { speeds: UNEQUAL, requestsPerS: 900, seed };
    const one = playChoiceLoad({ ...load, policy: defaultSwitches });
    const other = playChoiceLoad({ ...load, policy: leastLoad });
    t.ok(mean(one) < 0.8 * mean(other), `mean ${mean(one)} and ${mean(other)} ms`);
    const [late, lateOther] = [quantile(one, 0.99), quantile(other, 0.99)];
    t.ok(late < 0.9 * lateOther, `99th of 100 ${late} and ${lateOther} ms`);
    const fast = one.shares.filter((_, at) => at % 3 === 2);
    const fastest = Math.max(...fast);
    t.ok(fastest < 2.5 / UNEQUAL.length, `no herd: ${fastest} of all to the most popular`);
  }
});

t.test('equal back ends are used alike', async (t) => {
  for (const seed of SEEDS) {
    const load = { speeds: EQUAL, requestsPerS: 900, seed };
    const one = playChoiceLoad({ ...load, policy: defaultSwitches });
    const other = playChoiceLoad({ ...load, policy: leastLoad });
    t.ok(mean(one) < 1.05 * mean(other), `mean ${mean(one)} and ${mean(other)} ms`);
    t.ok(Math.max(...one.shares) < 1.6 / EQUAL.length, `${Math.max(...one.shares)}`);
  }
});

t.test(
  'four in ten turn five times slower for eight seconds, and are used again after',
  async (t) => {
    const isSlow = (backend: number) => backend % 5 < 2;
    const changeOf = (backend: number, nowMs: number) =>
      isSlow(backend) && nowMs > 5_000 && nowMs < 13_000 ? 0.2 : 1;
    for (const seed of SEEDS) {
      const load = { speeds: EQUAL, requestsPerS: 700, seed, changeOf };
      const one = playChoiceLoad({ ...load, policy: defaultSwitches });
      const other = playChoiceLoad({ ...load, policy: leastLoad });
      const [late, lateOther] = [one, other].map((outcome) => lateShare(outcome));
      t.ok((late ?? 1) < 0.5 * (lateOther ?? 0), `late ${late} and ${lateOther}`);
    }
    const longAfter = playChoiceLoad({
      policy: defaultSwitches,
      speeds: EQUAL,
      requestsPerS: 700,
      seed: 4,
      seconds: 60,
      changeOf,
    });
    const slowShare = longAfter.shares.reduce((sum, one, at) => sum + (isSlow(at) ? one : 0), 0);
    t.ok(slowShare > 0.3, `${slowShare} of the work of a minute: an estimate fades`);
  },
);

t.test('a balancer that is told nothing serves by what it sees', async (t) => {
  const load = { speeds: UNEQUAL, requestsPerS: 900, seed: 1, isTold: false };
  const one = playChoiceLoad({ ...load, policy: defaultSwitches });
  const other = playChoiceLoad({ ...load, policy: leastLoad });
  t.ok(mean(one) < 1.05 * mean(other), `mean ${mean(one)} and ${mean(other)} ms`);
});

const TARGET_MS = 250;

function lateShare({ tookMs }: ChoiceOutcome): number {
  return tookMs.filter((ms) => ms > TARGET_MS).length / tookMs.length;
}
