/** @file Guards against wrong load sums after late, duplicate or lost reports, restarts and truncated or long tables. */
import fc from 'fast-check';
import t from 'tap';
import type { LinkId } from '../../../src/shared/common/link-table.js';
import {
  eachLoad,
  packLoads,
  type PackedLoads,
} from '../../../src/registered/load-exchange/backend-load.js';
import {
  exchangePeriodMs,
  MIN_EXCHANGE_PERIOD_MS,
} from '../../../src/registered/load-exchange/exchange-period.js';
import { hasSameRows } from '../../../src/registered/load-exchange/packed-rows.js';
import { createLoadTotals } from '../../../src/registered/load-exchange/load-totals.js';

const LIFETIME_MS = 1_000;
const [FIRST, SECOND, THIRD] = [1, 2].map((id) => id as LinkId) as [LinkId, LinkId, LinkId];

function loads(...entries: readonly [number, number][]): PackedLoads {
  return packLoads(entries.map(([token, busy]) => ({ token, busy })));
}

t.test('each balancer gets the sums over all others', async (t) => {
  const totals = createLoadTotals(LIFETIME_MS);
  totals.applyReport(FIRST, loads([7, 1], [8, 1]));
  totals.applyReport(SECOND, loads([7, 3]));
  totals.applySums('other', loads([9, 5]), 0);
  t.same(totals.fleetSumsExcept(FIRST), loads([7, 3], [9, 5]));
  t.same(totals.fleetSumsExcept(SECOND), loads([7, 1], [8, 1], [9, 5]));
  t.same(totals.fleetSumsExcept(THIRD), loads([7, 4], [8, 1], [9, 5]));
  t.same(
    totals.ownSums(),
    loads([7, 4], [8, 1]),
    'sums of other control machines are not forwarded',
  );
});

t.test('a duplicate report counts once, a later one replaces it', async (t) => {
  const totals = createLoadTotals(LIFETIME_MS);
  totals.applyReport(FIRST, loads([7, 1]));
  totals.applyReport(FIRST, loads([7, 1]));
  t.same(totals.ownSums(), loads([7, 1]));
  totals.applyReport(FIRST, loads([8, 2]));
  t.same(totals.ownSums(), loads([8, 2]));
});

t.test('a report counts until the link of its balancer is closed', async (t) => {
  const totals = createLoadTotals(LIFETIME_MS);
  totals.applyReport(FIRST, loads([7, 9]));
  totals.removeReporter(FIRST);
  t.same(totals.ownSums(), []);
  totals.applyReport(SECOND, loads([7, 1]));
  t.same(totals.ownSums(), loads([7, 1]), 'the same balancer on its new link');
});

t.test('sums of a control machine that is partitioned expire', async (t) => {
  const totals = createLoadTotals(LIFETIME_MS);
  totals.applySums('partitioned', loads([7, 1]), 0);
  totals.applySums('reachable', loads([7, 2]), 0);
  totals.applySums('reachable', loads([7, 3]), 900);
  totals.removeExpiredSums(1_000);
  t.same(totals.fleetSumsExcept(FIRST), loads([7, 4]));
  totals.removeExpiredSums(1_001);
  t.same(totals.fleetSumsExcept(FIRST), loads([7, 3]));
  totals.applySums('partitioned', loads([7, 1]), 1_500);
  t.same(totals.fleetSumsExcept(FIRST), loads([7, 4]), 'it counts again with its next sums');
});

t.test('the version increases with each change only', async (t) => {
  const totals = createLoadTotals(LIFETIME_MS);
  const before = totals.version;
  totals.removeReporter(FIRST);
  totals.removeExpiredSums(5_000);
  t.equal(totals.version, before);
  totals.applyReport(FIRST, []);
  t.equal(totals.version, before + 1);
});

t.test('own load and the sums over the others add up to the total, in any order', async (t) => {
  const entry = fc.tuple(fc.nat(5), fc.nat(9));
  const report = fc.tuple(fc.nat(3), fc.uniqueArray(entry, { selector: ([token]) => token }));
  fc.assert(
    fc.property(fc.array(report), (reports) => {
      const totals = createLoadTotals(LIFETIME_MS);
      const last = new Map<LinkId, PackedLoads>();
      reports.forEach(([id, entries]) => {
        last.set(id as LinkId, loads(...entries));
        totals.applyReport(id as LinkId, loads(...entries));
      });
      return [...last].every(([id, own]) => {
        const sums = new Map<number, number>();
        [totals.fleetSumsExcept(id), own].forEach((table) =>
          eachLoad(table, (token, busy) => sums.set(token, (sums.get(token) ?? 0) + busy)),
        );
        const all = new Map<number, number>();
        eachLoad(totals.ownSums(), (token, busy) => all.set(token, busy));
        return [...sums].every(([token, busy]) => busy === (all.get(token) ?? 0));
      });
    }),
    { numRuns: 500, seed: 1 },
  );
  t.pass();
});

t.test('a truncated table loses its last entry only', async (t) => {
  const seen: number[] = [];
  eachLoad([7, 1, 8], (token) => seen.push(token));
  t.same(seen, [7]);
  t.notOk(hasSameRows([7, 1], [7, 2]));
  t.notOk(hasSameRows([7, 1], [7, 1, 8, 1]));
});

t.test('long tables are sent less often, so that the bandwidth stays bounded', async (t) => {
  const tableOf = (count: number) =>
    packLoads(Array.from({ length: count }, (_, token) => ({ token, busy: 1 })));
  t.equal(exchangePeriodMs([]), MIN_EXCHANGE_PERIOD_MS);
  t.equal(exchangePeriodMs(tableOf(10)), MIN_EXCHANGE_PERIOD_MS);
  for (const count of [105, 1_000, 12_000]) {
    const bytesPerS = (count * 6 * 1_000) / exchangePeriodMs(tableOf(count));
    t.ok(bytesPerS <= 2_050, `${count} back ends: ${bytesPerS} bytes a second`);
  }
});
