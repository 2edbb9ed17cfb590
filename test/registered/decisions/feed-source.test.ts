/** @file A balancer finds a control machine that is current, and leaves one that is not. */
import t from 'tap';
import type { Address } from '../../../src/shared/common/address.js';
import { widestTiming } from '../../../src/registered/group/timing.js';
import { FeedSource } from '../../../src/registered/decisions/feed-source.js';

const STEP_MS = 100;
const CONTROLS: readonly Address[] = [1, 2, 3].map((number) => ({
  host: `10.0.1.${number}`,
  port: 7_700,
}));

/** Runs a source against control machines of which some are current, some answer, some are silent. */
function runSource(
  source: FeedSource,
  behaviour: (address: Address) => 'current' | 'stale' | 'silent',
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
    const answer = linked === undefined ? 'silent' : behaviour(linked);
    if (answer !== 'silent') {
      source.recordMessage(answer === 'current', nowMs);
    }
    if (answer === 'current') {
      return { currentAtMs: nowMs };
    }
  }
  return { currentAtMs: undefined };
}

t.test('two machines that are not current are passed within a second', async (t) => {
  const source = new FeedSource({ seeds: CONTROLS, zone: 'zone-a', spread: 0 }, widestTiming.feed);
  const { currentAtMs } = runSource(
    source,
    ({ host }) => (host === '10.0.1.3' ? 'current' : 'stale'),
    5_000,
  );
  t.ok((currentAtMs ?? Infinity) <= 1_000, `current after ${currentAtMs} ms`);
});

t.test('two machines that are silent are passed within two seconds', async (t) => {
  const source = new FeedSource({ seeds: CONTROLS, zone: 'zone-a', spread: 0 }, widestTiming.feed);
  const { currentAtMs } = runSource(
    source,
    ({ host }) => (host === '10.0.1.3' ? 'current' : 'silent'),
    5_000,
  );
  t.ok((currentAtMs ?? Infinity) <= 2_000, `current after ${currentAtMs} ms`);
});

const STAY_MS = 10_000;
const zoned = CONTROLS.map((linkAddress, at) => ({ linkAddress, zone: `zone-${'abc'[at]}` }));

/** Steps a source for a while; all control machines are current but those that are named. */
function follow(source: FeedSource, fromMs: number, untilMs: number, failing: string[] = []) {
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
        source.applyControls(zoned);
      }
    } else {
      source.recordMessage(true, nowMs);
    }
  }
  return connects;
}

t.test(
  'a balancer moves to the control machine of its zone, once it has been elsewhere a while',
  async (t) => {
    const source = new FeedSource(
      { seeds: CONTROLS, zone: 'zone-b', spread: 900 },
      widestTiming.feed,
    );
    const connects = follow(source, 0, STAY_MS);
    t.same(
      connects.map(({ host }) => host),
      ['10.0.1.1', '10.0.1.2'],
    );
    t.ok((connects[1]?.atMs ?? 0) >= 2_400, 'not at once');
  },
);

t.test('balancers return at different times', async (t) => {
  const times = [0, 1_000, 2_000, 3_000].map((spread) => {
    const source = new FeedSource(
      { seeds: CONTROLS.slice(0, 1), zone: 'zone-b', spread },
      widestTiming.feed,
    );
    return follow(source, 0, STAY_MS)[1]?.atMs ?? 0;
  });
  t.equal(new Set(times).size, times.length, times.join(' '));
});

t.test('one of the own zone that fails is left alone for longer each time', async (t) => {
  const source = new FeedSource({ seeds: CONTROLS, zone: 'zone-b', spread: 0 }, widestTiming.feed);
  const connects = follow(source, 0, 60_000, ['10.0.1.2']);
  const tries = connects.filter(({ host }) => host === '10.0.1.2').map(({ atMs }) => atMs);
  t.ok(tries.length >= 2 && tries.length <= 6, `tried ${tries.length} times`);
  const gaps = tries.slice(1).map((atMs, at) => atMs - (tries[at] ?? 0));
  t.ok((gaps.at(-1) ?? 0) > (gaps[0] ?? 0), gaps.join(' '));
});

t.test('a link that brings some of a message now and then is not silent', async (t) => {
  const source = new FeedSource({ seeds: CONTROLS, zone: 'zone-a', spread: 0 }, widestTiming.feed);
  source.nextAction(0);
  for (let nowMs = 0; nowMs < 5_000; nowMs += 500) {
    source.recordProgress(nowMs);
    t.equal(source.nextAction(nowMs + 400).type, 'wait');
  }
  t.equal(source.nextAction(6_000).type, 'close', 'and is once that ends');
});

t.test('balancers of a zone with several control machines spread over them', async (t) => {
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

t.test('a link that is closed from here says why', async (t) => {
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
    source.applyControls(zoned);
    source.recordMessage(true, 2_900);
  };
  t.same(closeAfter(current, 3_000), { type: 'close', why: 'returns-to-own-zone' });
});
