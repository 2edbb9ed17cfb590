/** @file A balancer finds a control machine that is current, and leaves one that is not. */
import t from 'tap';
import type { Address } from '../../src/common/address.js';
import { widestTiming } from '../../src/group/timing.js';
import { FeedSource } from '../../src/ingress/feed-source.js';

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
    const action = source.act(nowMs);
    if (action.type === 'close') {
      linked = undefined;
      source.closed(nowMs);
    } else if (action.type === 'connect') {
      linked = action.address;
    }
    const answer = linked === undefined ? 'silent' : behaviour(linked);
    if (answer !== 'silent') {
      source.heard(answer === 'current', nowMs);
    }
    if (answer === 'current') {
      return { currentAtMs: nowMs };
    }
  }
  return { currentAtMs: undefined };
}

t.test('two machines that are not current are passed within a second', async (t) => {
  const source = new FeedSource(CONTROLS, 0, widestTiming.feed);
  const { currentAtMs } = runSource(
    source,
    ({ host }) => (host === '10.0.1.3' ? 'current' : 'stale'),
    5_000,
  );
  t.ok((currentAtMs ?? Infinity) <= 1_000, `current after ${currentAtMs} ms`);
});

t.test('two machines that are silent are passed within two seconds', async (t) => {
  const source = new FeedSource(CONTROLS, 0, widestTiming.feed);
  const { currentAtMs } = runSource(
    source,
    ({ host }) => (host === '10.0.1.3' ? 'current' : 'silent'),
    5_000,
  );
  t.ok((currentAtMs ?? Infinity) <= 2_000, `current after ${currentAtMs} ms`);
});
