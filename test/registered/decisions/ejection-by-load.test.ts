/**
 * @file Ejection of back ends that hang while their heartbeats succeed: their requests in progress stand out
 * from their service.
 */
import t from 'tap';
import { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import type { KnownBackend } from '../../../src/registered/ingress/known-backend.js';
import { recordOf, applyFirstHeartbeat } from './backend-records.js';
import { withoutEjectedByLoad } from '../../../src/registered/decisions/ejection/by-load.js';

function backendsWith(busyCounts: readonly number[]): KnownBackend[] {
  const table = new BackendTable(1_200);
  busyCounts.forEach((busy, index) => {
    Object.assign(applyFirstHeartbeat(table, recordOf(index + 1), 0).fleet, { busy });
  });
  return [...table.all()];
}

/** @returns the numbers of the ejected back ends */
function ejectedNumbers(busyCounts: readonly number[]): number[] {
  const all = backendsWith(busyCounts);
  const kept = new Set(withoutEjectedByLoad(all));
  return all.flatMap((backend, index) => (kept.has(backend) ? [] : [index + 1]));
}

t.test('ejects a back end that hangs, until its clients give up', async (t) => {
  t.same(ejectedNumbers([0, 1, 0, 12, 1, 0, 0, 1, 0, 0]), [4]);
  t.same(ejectedNumbers([0, 1, 0, 4, 1, 0, 0, 1, 0, 0]), []);
});

t.test('ejects none where the whole service is busy', async (t) => {
  t.same(ejectedNumbers([9, 10, 8, 12, 9, 11, 10, 9, 10, 8]), []);
  t.same(
    ejectedNumbers([16, 20, 16, 18, 40, 16, 20, 16, 18, 17]),
    [],
    'twice the load of the others is allowed',
  );
});

t.test('ejects at most a fifth, those with the highest load first', async (t) => {
  t.same(
    ejectedNumbers([30, 31, 32, 33, 0, 0, 0, 0, 0, 0]),
    [3, 4],
    'four of ten exceed the threshold',
  );
  t.same(ejectedNumbers([30, 31, 12, 0, 0, 0, 0, 0, 0, 0]), [1, 2]);
  t.same(ejectedNumbers([30, 0, 0, 0]), [], 'a fifth of four is none');
});
