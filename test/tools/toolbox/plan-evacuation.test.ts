/** @file Guards the capacity check of a zone evacuation. */
import t from 'tap';
import { parseZoneReports } from '../../../src/tools/client/declared-client.js';
import type { ZoneReport } from '../../../src/registered/group/group-messages.js';
import { describeEvacuation, planEvacuation } from '../../../src/tools/toolbox/plan-evacuation.js';

function report(zone: string, slots: number, busy: number, isEvacuated = false): ZoneReport {
  return { zone, isEvacuated, orders: Number(isEvacuated), backendCount: slots / 2, slots, busy };
}

t.test('the remaining slots are compared with all requests in progress', async (t) => {
  const zones = [report('a', 8, 5), report('b', 8, 4), report('c', 8, 0, true)];
  const plan = planEvacuation(zones, 'a')._unsafeUnwrap();
  t.same(plan, { zone: 'a', isEvacuated: false, busy: 9, slotsLeft: 8, fits: false });
  t.match(describeEvacuation(plan), /8 slots for 9 requests in progress\. Warning/);
  const sufficient = planEvacuation([report('a', 8, 3), report('b', 8, 4)], 'a')._unsafeUnwrap();
  t.match(sufficient, { busy: 7, slotsLeft: 8, fits: true });
  t.notMatch(describeEvacuation(sufficient), /Warning/);
  const again = planEvacuation(zones, 'c')._unsafeUnwrap();
  t.match(describeEvacuation(again), /evacuated already/);
});

t.test('evacuating the last zone never fits, and an unknown zone is an error', async (t) => {
  t.match(planEvacuation([report('a', 8, 0)], 'a')._unsafeUnwrap(), { slotsLeft: 0, fits: false });
  const unknown = planEvacuation([report('a', 8, 0)], 'x')._unsafeUnwrapErr();
  t.equal(unknown.kind, 'not-found');
  t.match(unknown.message, /Unknown zone x; the deployment has a/);
});

t.test('zone reports are validated', async (t) => {
  const zones = [report('a', 8, 5)];
  t.same(parseZoneReports({ zones })._unsafeUnwrap(), zones);
  t.equal(parseZoneReports({ zones: [{ zone: 'a' }] })._unsafeUnwrapErr().kind, 'invalid-command');
});
