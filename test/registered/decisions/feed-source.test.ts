/**
 * @file A balancer must find a current control machine, leave one that is not, and return to its own zone.
 */
import t from 'tap';
import type { Address } from '../../../src/shared/common/address.js';
import { widestTiming } from '../../../src/registered/group/timing.js';
import { FeedSource } from '../../../src/registered/decisions/feed-source.js';

const STEP_MS = 100;
const CONTROLS: readonly Address[] = [1, 2, 3].map((number) => ({
  host: `10.0.1.${number}`,
  port: 7_700,
}));

/** Runs a source until it is linked to a current control machine. */
function runUntilCurrent(
  source: FeedSource,
  stateOf: (address: Address) => 'current' | 'stale' | 'silent',
  untilMs: number,
): { readonly currentAtMs: number | undefined } {
  let linked: Address | undefined;
  for (let nowMs = 0; nowMs <= untilMs; nowMs += STEP_MS) {
    const action = source.nextAction(nowMs);
    if (action.type === 'close') {
      linked = undefined;
      source.recordClosed(nowMs);
    } else if (action.type === 'connect') {
      linked = action.address;
    }
    const answer = linked === undefined ? 'silent' : stateOf(linked);
    if (answer !== 'silent') {
      source.recordMessage(answer === 'current', nowMs);
    }
    if (answer === 'current') {
      return { currentAtMs: nowMs };
    }
  }
  return { currentAtMs: undefined };
}

t.test('skips two control machines that are not current within a second', async (t) => {
  const source = new FeedSource({ seeds: CONTROLS, zone: 'zone-a', spread: 0 }, widestTiming.feed);
  const { currentAtMs } = runUntilCurrent(
    source,
    ({ host }) => (host === '10.0.1.3' ? 'current' : 'stale'),
    5_000,
  );
  t.ok((currentAtMs ?? Infinity) <= 1_000, `current after ${currentAtMs} ms`);
});

t.test('skips two silent control machines within two seconds', async (t) => {
  const source = new FeedSource({ seeds: CONTROLS, zone: 'zone-a', spread: 0 }, widestTiming.feed);
  const { currentAtMs } = runUntilCurrent(
    source,
    ({ host }) => (host === '10.0.1.3' ? 'current' : 'silent'),
    5_000,
  );
  t.ok((currentAtMs ?? Infinity) <= 2_000, `current after ${currentAtMs} ms`);
});

const RUN_MS = 10_000;
const ONE_PER_ZONE = CONTROLS.map((linkAddress, at) => ({
  linkAddress,
  zone: `zone-${'abc'[at]}`,
}));

/** @returns the connections that a source makes; all control machines but the failing ones are current */
function recordConnects(
  source: FeedSource,
  fromMs: number,
  untilMs: number,
  failing: string[] = [],
) {
  const connects: { readonly host: string; readonly atMs: number }[] = [];
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += STEP_MS) {
    const action = source.nextAction(nowMs);
    if (action.type === 'close') {
      source.recordClosed(nowMs);
    } else if (action.type === 'connect') {
      connects.push({ host: action.address.host, atMs: nowMs });
      if (failing.includes(action.address.host)) {
        source.recordClosed(nowMs);
      } else {
        source.recordMessage(true, nowMs);
        source.applyControls(ONE_PER_ZONE);
      }
    } else {
      source.recordMessage(true, nowMs);
    }
  }
  return connects;
}

t.test('returns to the control machine of its own zone after a stay elsewhere', async (t) => {
  const source = new FeedSource(
    { seeds: CONTROLS, zone: 'zone-b', spread: 900 },
    widestTiming.feed,
  );
  const connects = recordConnects(source, 0, RUN_MS);
  t.same(
    connects.map(({ host }) => host),
    ['10.0.1.1', '10.0.1.2'],
  );
  t.ok((connects[1]?.atMs ?? 0) >= 2_400, 'not at once');
});

t.test('balancers return at different times', async (t) => {
  const times = [0, 1_000, 2_000, 3_000].map((spread) => {
    const source = new FeedSource(
      { seeds: CONTROLS.slice(0, 1), zone: 'zone-b', spread },
      widestTiming.feed,
    );
    return recordConnects(source, 0, RUN_MS)[1]?.atMs ?? 0;
  });
  t.equal(new Set(times).size, times.length, times.join(' '));
});

t.test('backs off longer each time a control machine of the own zone fails', async (t) => {
  const source = new FeedSource({ seeds: CONTROLS, zone: 'zone-b', spread: 0 }, widestTiming.feed);
  const connects = recordConnects(source, 0, 60_000, ['10.0.1.2']);
  const attemptsMs = connects.filter(({ host }) => host === '10.0.1.2').map(({ atMs }) => atMs);
  t.ok(attemptsMs.length >= 2 && attemptsMs.length <= 6, `tried ${attemptsMs.length} times`);
  const gapsMs = attemptsMs.slice(1).map((atMs, at) => atMs - (attemptsMs[at] ?? 0));
  t.ok((gapsMs.at(-1) ?? 0) > (gapsMs[0] ?? 0), gapsMs.join(' '));
});

t.test('a link with partial messages is not silent', async (t) => {
  const source = new FeedSource({ seeds: CONTROLS, zone: 'zone-a', spread: 0 }, widestTiming.feed);
  source.nextAction(0);
  for (let nowMs = 0; nowMs < 5_000; nowMs += 500) {
    source.recordProgress(nowMs);
    t.equal(source.nextAction(nowMs + 400).type, 'wait');
  }
  t.equal(source.nextAction(6_000).type, 'close', 'silent once progress ends');
});

t.test('spreads balancers over the control machines of their zone', async (t) => {
  const inOneZone = CONTROLS.map((linkAddress) => ({ linkAddress, zone: 'zone-b' }));
  const chosen = Array.from({ length: 30 }, (_, spread) => {
    const source = new FeedSource({ seeds: [], zone: 'zone-b', spread }, widestTiming.feed);
    source.applyControls(inOneZone);
    const action = source.nextAction(0);
    return action.type === 'connect' ? action.address.host : undefined;
  });
  for (const { host } of CONTROLS) {
    t.equal(chosen.filter((other) => other === host).length, 10, host);
  }
});

t.test('gives the reason for closing a link', async (t) => {
  const seeker = { seeds: CONTROLS, zone: 'zone-b', spread: 0 };
  const closeAfter = (prepare: (source: FeedSource) => void, nowMs: number) => {
    const source = new FeedSource(seeker, widestTiming.feed);
    source.nextAction(0);
    prepare(source);
    return source.nextAction(nowMs);
  };
  t.same(
    closeAfter(() => undefined, 2_000),
    { type: 'close', why: 'no-feed' },
  );
  t.same(
    closeAfter((source) => source.recordMessage(true, 0), 2_000),
    { type: 'close', why: 'silent' },
  );
  t.same(
    closeAfter((source) => source.recordMessage(false, 0), 500),
    { type: 'close', why: 'not-current' },
  );
  const current = (source: FeedSource) => {
    source.applyControls(ONE_PER_ZONE);
    source.recordMessage(true, 2_900);
  };
  t.same(closeAfter(current, 3_000), { type: 'close', why: 'returns-to-own-zone' });
});
