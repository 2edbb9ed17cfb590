/** @file Guards the aggregation of subtree reports: no balancer is reported further ahead than it is, or twice. */
import fc from 'fast-check';
import t from 'tap';
import {
  allReports,
  createSubtreeReports,
  removeLink,
  expireReports,
  lowestIndex,
  REPORT_LIFETIME_MS,
  applyReport,
  type SubtreeReports,
} from '../../../src/managed/dissemination/subtree-report.js';
import {
  MAX_LAGGARDS,
  buildSubtreeReport,
} from '../../../src/managed/dissemination/subtree-summary.js';
import type { SubtreeReport } from '../../../src/managed/dissemination/link-messages.js';

const ZONE = 'zone-a';

function relayWith(indexes: readonly number[]): SubtreeReports {
  const reports = createSubtreeReports();
  indexes.forEach((index, number) =>
    applyReport(reports, number, { balancerId: `child-${number}`, zone: ZONE, index }, 0),
  );
  return reports;
}

function report(reports: SubtreeReports): SubtreeReport {
  const subtree = buildSubtreeReport(reports, true);
  if (subtree === undefined) {
    throw new Error('The subtree is empty.');
  }
  return subtree;
}

t.test('an aggregated report never exceeds the indexes that the balancers reported', async () => {
  const indexes = fc.array(fc.nat(50), { minLength: 1, maxLength: 60 });
  fc.assert(
    fc.property(indexes, (below) => {
      const relay = relayWith(below);
      const control = createSubtreeReports();
      const subtree = report(relay);
      applyReport(control, 1, { balancerId: 'relay', zone: ZONE, index: 50, subtree }, 0);
      const reported = new Map(allReports(control).map((one) => [one.balancerId, one.index]));
      return (
        subtree.laggards.length <= MAX_LAGGARDS &&
        lowestIndex(control, 50) === Math.min(...below) &&
        below.every((index, number) => (reported.get(`child-${number}`) ?? Infinity) <= index)
      );
    }),
    { seed: 1 },
  );
});

t.test('a balancer whose link is closed counts until its lease has expired', async (t) => {
  const reports = relayWith([7, 9]);
  removeLink(reports, 0);
  t.equal(lowestIndex(reports, 9), 7);
  expireReports(reports, REPORT_LIFETIME_MS + 1);
  t.equal(allReports(reports).length, 0);
  t.equal(lowestIndex(reports, 9), 9);
});

t.test('a balancer that moves to another relay counts only there', async (t) => {
  const former = relayWith([7, 9]);
  const control = createSubtreeReports();
  const relay = (balancerId: string, reports: SubtreeReports) => ({
    balancerId,
    zone: ZONE,
    index: 9,
    subtree: report(reports),
  });
  applyReport(control, 1, relay('former', former), 0);
  t.equal(lowestIndex(control, 9), 7);

  const next = relayWith([9]);
  applyReport(control, 2, relay('next', next), 0);
  t.equal(lowestIndex(control, 9), 9, 'the report of the former relay no longer counts');

  removeLink(former, 0);
  applyReport(control, 1, relay('former', former), 0);
  t.equal(lowestIndex(control, 9), 9, 'nor does it after the former relay lost the link');
  t.equal(allReports(control).filter(({ balancerId }) => balancerId === 'child-0').length, 1);
});
