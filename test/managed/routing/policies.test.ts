/** @file The placement policies distribute flows evenly, respect zones and slow start, and skip tried back ends. */
import { test } from 'tap';
import { placementPolicyNames } from '../../../src/managed/control/routing-config.js';
import { recordFailedOpen, recordSentOpen } from '../../../src/managed/routing/load-estimate.js';
import { buildMaglevTable, MAGLEV_TABLE_SIZE } from '../../../src/managed/routing/maglev-table.js';
import type {
  PlacementCandidate,
  PlacementRequest,
} from '../../../src/managed/routing/placement-policy.js';
import { createPolicy } from '../../../src/managed/routing/policy-registry.js';
import { candidate, contextAt, requestFor } from './candidates.js';

const FLOWS = 3_000;

/** Places flows one millisecond apart, as a balancer does; returns the number of flows by back end ID. */
function placeFlows(
  policyName: (typeof placementPolicyNames)[number],
  candidates: readonly PlacementCandidate[],
  overrides: Partial<PlacementRequest> = {},
  startMs = 0,
): Map<number, number> {
  const policy = createPolicy(policyName);
  const { random } = contextAt(0);
  const flows = new Map(candidates.map(({ backend }) => [backend.id, 0]));
  for (let number = 0; number < FLOWS; number += 1) {
    const nowMs = startMs + number;
    const request = requestFor(number, overrides);
    const chosen = policy.choose(candidates, request, { nowMs, random });
    if (chosen !== undefined) {
      flows.set(chosen.backend.id, (flows.get(chosen.backend.id) ?? 0) + 1);
      recordSentOpen(chosen.estimate, request.balancerCount, nowMs);
    }
  }
  return flows;
}

for (const name of placementPolicyNames) {
  test(`the policy ${name} meets the interface contract`, async (t) => {
    const candidates = [1, 2, 3].map((id) => candidate({ id, zone: `zone-${id}` }));
    const policy = createPolicy(name);
    t.equal(policy.name, name);
    t.equal(policy.choose([], requestFor(1), contextAt(0)), undefined, 'no candidates');
    const tried = requestFor(1, { triedBackendIds: [1, 3] });
    t.equal(
      policy.choose(candidates, tried, contextAt(0))?.backend.id,
      2,
      'only an untried candidate is chosen',
    );
    const allTried = requestFor(1, { triedBackendIds: [1, 2, 3] });
    t.equal(policy.choose(candidates, allTried, contextAt(0)), undefined);
    t.same(
      createPolicy(name).choose(candidates, requestFor(7), contextAt(5)),
      createPolicy(name).choose(candidates, requestFor(7), contextAt(5)),
      'the choice is deterministic',
    );
  });
}

test('random placement is close to even', async (t) => {
  const flows = placeFlows(
    'random',
    [1, 2, 3].map((id) => candidate({ id })),
  );
  flows.forEach((count) => t.ok(Math.abs(count - FLOWS / 3) < 100));
});

test('least-reported placement uses only the reports', async (t) => {
  const candidates = [1, 2, 3].map((id) => candidate({ id, connections: 10 * id }));
  t.equal(placeFlows('least-reported', candidates).get(1), FLOWS, 'all flows go to one back end');
});

test('a Maglev table is balanced and changes little when a back end is removed', async (t) => {
  const ids = Array.from({ length: 10 }, (_, index) => index + 1);
  const table = buildMaglevTable(ids);
  t.same(buildMaglevTable([...ids].reverse()), table, 'the order of the back ends has no effect');
  for (const id of ids) {
    const share = table.filter((entry) => entry === id).length / MAGLEV_TABLE_SIZE;
    t.ok(Math.abs(share - 0.1) < 0.001, 'back ends get nearly equal shares');
  }
  const without = buildMaglevTable(ids.slice(1));
  const moved = table.filter((id, entry) => id !== 1 && without[entry] !== id).length;
  t.ok(moved < 0.05 * MAGLEV_TABLE_SIZE, 'removing a back end moves few entries of others');
  t.ok(moved > 0, 'but it moves some, which breaks flows');
});

test('adaptive placement stays even between two reports', async (t) => {
  const flows = placeFlows(
    'adaptive',
    [1, 2, 3].map((id) => candidate({ id })),
    { balancerCount: 30 },
  );
  flows.forEach((count) => t.ok(Math.abs(count - FLOWS / 3) <= 3));
});

test('adaptive placement fills a less loaded back end faster, but not at once', async (t) => {
  const loads = [500, 1_000, 1_000, 1_000];
  const flows = placeFlows(
    'adaptive',
    loads.map((connections, index) => candidate({ id: index + 1, connections })),
  );
  const least = flows.get(1) ?? 0;
  t.ok(least > 1.1 * (FLOWS / 4));
  t.ok(least < 2 * (FLOWS / 4));
});

test('adaptive placement prefers the local zone until it is overloaded', async (t) => {
  const zones = ['zone-a', 'zone-a', 'zone-b', 'zone-b', 'zone-c', 'zone-c'];
  const fleet = { balancerCount: 3, localBalancerCount: 1 };
  const inLocalZone = (localConnections: number): number => {
    const candidates = zones.map((zone, index) =>
      candidate({
        id: index + 1,
        zone,
        connections: zone === 'zone-a' ? localConnections : 1_000,
      }),
    );
    const flows = placeFlows('adaptive', candidates, fleet);
    return (flows.get(1) ?? 0) + (flows.get(2) ?? 0);
  };
  t.equal(inLocalZone(1_000), FLOWS, 'all flows stay in the zone');
  t.ok(inLocalZone(1_600) < 0.8 * FLOWS, 'the excess goes to other zones');
});

test('adaptive placement applies slow start to a cold back end', async (t) => {
  const cold = candidate({ id: 1, slowStartAtMs: 0 });
  const warm = [2, 3, 4].map((id) => candidate({ id, connections: 1_000 }));
  const early = placeFlows('adaptive', [cold, ...warm]).get(1) ?? 0;
  t.ok(early > 0);
  t.ok(early < 0.15 * FLOWS, 'less than an equal share at first');
  const later = [2, 3, 4].map((id) => candidate({ id, connections: 1_000 }));
  const late = placeFlows(
    'adaptive',
    [candidate({ id: 1, slowStartAtMs: 0 }), ...later],
    {},
    10_000,
  );
  t.ok((late.get(1) ?? 0) > 0.25 * FLOWS, 'more than an equal share once warm');
});

test('adaptive placement avoids a back end with recent refusals', async (t) => {
  const candidates = [1, 2, 3, 4].map((id) => candidate({ id, connections: 1_000 }));
  const refusing = candidates[0];
  for (let count = 0; refusing !== undefined && count < 10; count += 1) {
    recordFailedOpen(refusing.estimate, 1, 0);
  }
  t.ok((placeFlows('adaptive', candidates).get(1) ?? 0) < 0.1 * FLOWS);
  t.ok(
    (placeFlows('adaptive', candidates, {}, FLOWS).get(1) ?? 0) > 0.2 * FLOWS,
    'only for some seconds',
  );
});
