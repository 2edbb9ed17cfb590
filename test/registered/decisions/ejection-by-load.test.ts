/**
 * @file Back ends that take flows and answer none, though their heartbeats are good: what seems to be in progress
 * there stands out of their service.
 */
import t from 'tap';
import { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import type { KnownBackend } from '../../../src/registered/ingress/known-backend.js';
import { recordOf, takeIn } from './backend-records.js';
import { withoutEjectedByLoad } from '../../../src/registered/decisions/ejection/by-load.js';

function backendsWith(busyOf: readonly number[]): KnownBackend[] {
  const table = new BackendTable(1_200);
  busyOf.forEach((busy, index) => {
    Object.assign(takeIn(table, recordOf(index + 1), 0).fleet, { busy });
  });
  return [...table.all()];
}

/** @returns the numbers of those that are left out */
function leftOut(busyOf: readonly number[]): number[] {
  const all = backendsWith(busyOf);
  const kept = new Set(withoutEjectedByLoad(all));
  return all.flatMap((backend, index) => (kept.has(backend) ? [] : [index + 1]));
}

t.test('one that hangs stands out, and comes back as what hangs there is given up', async (t) => {
  t.same(leftOut([0, 1, 0, 12, 1, 0, 0, 1, 0, 0]), [4]);
  t.same(leftOut([0, 1, 0, 4, 1, 0, 0, 1, 0, 0]), []);
});

t.test('a service that is busy as a whole has no outlier', async (t) => {
  t.same(leftOut([9, 10, 8, 12, 9, 11, 10, 9, 10, 8]), []);
  t.same(leftOut([16, 20, 16, 18, 40, 16, 20, 16, 18, 17]), [], 'twice the others is no fault');
});

t.test('no more than a fifth is passed over, those that carry most first', async (t) => {
  t.same(leftOut([30, 31, 32, 33, 0, 0, 0, 0, 0, 0]), [3, 4], 'four of ten stand out');
  t.same(leftOut([30, 31, 12, 0, 0, 0, 0, 0, 0, 0]), [1, 2]);
  t.same(leftOut([30, 0, 0, 0]), [], 'of four none can be spared');
});
