/** @file Guards against broken flows when a frozen balancer places queued opens that others placed meanwhile. */
import t from 'tap';
import type { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';
import { createStallDetector } from '../../../src/shared/common/stall-detector.js';

const SEEDS = 6;
const FAULTS = 10;

/** Makes all balancers trust opens that were queued during a stall. */
function disableStallDetector(world: IngressWorld): void {
  for (const { process } of world.balancers) {
    if (process !== undefined) {
      process.state.stallDetector.freshnessAt = () => 'fresh';
    }
  }
}

t.test(
  'no flow breaks when balancers freeze and resume; without the stall detector, flows break',
  async (t) => {
    let isCaught = false;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const run = {
        seed,
        faultCount: FAULTS,
        kinds: ['balancer-frozen'],
        endsWithLoss: false,
      } as const;
      const baseline = await runIngressWorld(run);
      t.same(baseline.violations, [], `seed ${seed}`);
      if (!isCaught) {
        const mutant = await runIngressWorld({ ...run, prepare: disableStallDetector });
        isCaught = mutant.violations.some(({ check }) => check === 'flow');
      }
    }
    t.ok(isCaught, 'the mutant is detected');
  },
);

t.test('opens are doubtful after a stall, and stale after a long one', async (t) => {
  const trustAfter = (pauseMs: number, laterMs = 0) => {
    const detector = createStallDetector({ stallThresholdMs: 300, peerRetentionMs: 2_000 });
    detector.recordActivity(1_000);
    detector.recordActivity(1_100);
    detector.recordActivity(1_100 + pauseMs);
    return detector.freshnessAt(1_100 + pauseMs + laterMs);
  };
  t.equal(trustAfter(100), 'fresh');
  t.equal(trustAfter(299), 'fresh', 'a late tick');
  t.equal(trustAfter(300), 'doubtful');
  t.equal(trustAfter(1_999), 'doubtful');
  t.equal(trustAfter(2_000), 'stale');
  t.equal(trustAfter(5_000, 299), 'stale');
  t.equal(trustAfter(5_000, 300), 'fresh', 'the backlog has been read');
  t.equal(
    createStallDetector({ stallThresholdMs: 300, peerRetentionMs: 2_000 }).freshnessAt(9_000),
    'fresh',
    'a fresh start',
  );
});
