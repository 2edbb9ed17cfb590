/** @file Reports of what is in force, summed up on the way to the control machine. */
import fc from 'fast-check';
import t from 'tap';
import {
  allReports,
  createSubtreeReports,
  dropLink,
  expireReports,
  lowestIndex,
  REPORT_LIFETIME_MS,
  applyReport,
  type SubtreeReports,
} from '../../../src/managed/dissemination/subtree-report.js';
import { MAX_LAGGARDS, subtreeReport } from '../../../src/managed/dissemination/subtree-summary.js';
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
  const subtree = subtreeReport(reports, true);
  if (subtree === undefined) {
    throw new Error('Nobody is below.');
  }
  return subtree;
}

t.test('a sum never says more than what the balancers said', async () => {
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

t.test('a balancer whose link is closed counts until it is past its lease', async (t) => {
  const reports = relayWith([7, 9]);
  dropLink(reports, 0);
  t.equal(lowestIndex(reports, 9), 7);
  expireReports(reports, REPORT_LIFETIME_MS + 1);
  t.equal(allReports(reports).length, 0);
  t.equal(lowestIndex(reports, 9), 9);
});

t.test('a balancer that moves to another relay counts where it is', async (t) => {
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
  t.equal(lowestIndex(control, 9), 9, 'the former relay still names it, but does not count');

  dropLink(former, 0);
  applyReport(control, 1, relay('former', former), 0);
  t.equal(lowestIndex(control, 9), 9, 'nor when it has lost it');
  t.equal(allReports(control).filter(({ balancerId }) => balancerId === 'child-0').length, 1);
});
