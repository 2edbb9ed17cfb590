/** @file A balancer that stood still: opens that waited there were placed by others meanwhile. */
import t from 'tap';
import type { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';
import { createStallDetector } from '../../../src/shared/common/stall-guard.js';

const SEEDS = 6;
const FAULTS = 10;

/** The guard never doubts an open. */
function trustAll(world: IngressWorld): void {
  for (const { process } of world.balancers) {
    if (process !== undefined) {
      process.state.stallGuard.freshnessAt = () => 'fresh';
    }
  }
}

t.test(
  'no flow breaks when balancers stand still and go on; a mutant without the guard does',
  async (t) => {
    let isCaught = false;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const run = {
        seed,
        faultCount: FAULTS,
        kinds: ['balancer-frozen'],
        endsWithLoss: false,
      } as const;
      const whole = await runIngressWorld(run);
      t.same(whole.violations, [], `seed ${seed}`);
      if (!isCaught) {
        const broken = await runIngressWorld({ ...run, prepare: trustAll });
        isCaught = broken.violations.some(({ check }) => check === 'flow');
      }
    }
    t.ok(isCaught, 'the mutant is caught');
  },
);

t.test('opens are doubted after a stall, and stale after a long one', async (t) => {
  const trustAfter = (pauseMs: number, laterMs = 0) => {
    const guard = createStallDetector({ stallThresholdMs: 300, peerRetentionMs: 2_000 });
    guard.recordActivity(1_000);
    guard.recordActivity(1_100);
    guard.recordActivity(1_100 + pauseMs);
    return guard.freshnessAt(1_100 + pauseMs + laterMs);
  };
  t.equal(trustAfter(100), 'fresh');
  t.equal(trustAfter(299), 'fresh', 'a tick that is late');
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
