/**
 * @file Scenarios of losses that take several machines at once: all control machines, a whole zone, the
 * leader by a cut. Changes go on wherever a majority is left.
 */
import type { SimulatedProcess } from '../simulated-process.js';
import { smallWorld } from '../world-plan.js';
import { changePolicy } from './operator-changes.js';
import { publishRegularly, QUIET_END_MS, type Scenario, type ScenarioScope } from './scenario.js';

const CONTROLS_DOWN_AT_MS = 2_000;
const CONTROLS_DOWN_MS = 1_000;
const ZONE_LOST_AT_MS = 9_000;
const ZONE_LOST_MS = 7_000;
const LEADER_CUT_AT_MS = 22_000;
const LEADER_CUT_MS = 6_000;
/** Times of changes: before each loss, while it lasts and another machine can lead, and after it. */
const CHANGES_AT_MS = [500, 6_500, 13_500, 20_000, 26_500, 30_000] as const;
const DURATION_MS = 31_000 + QUIET_END_MS;

/** Many balancers over three zones, so that some pass the configuration on to others. */
const BALANCERS = 12;

/** See the description. */
export const lostZone: Scenario = {
  name: 'lost-zone',
  description:
    'All control machines die at once; the zone of the leader is lost; the leader is cut off. Changes go on.',
  plan: { ...smallWorld, balancers: BALANCERS, balancerZones: 3 },
  durationMs: DURATION_MS,
  schedule: (scope) => {
    const { world, faults } = scope;
    publishRegularly(scope, DURATION_MS, 500);
    CHANGES_AT_MS.forEach((atMs) => world.after(atMs, () => changePolicy(scope)));
    world.after(CONTROLS_DOWN_AT_MS, () =>
      world.controls.forEach((control) => faults.crash(control, CONTROLS_DOWN_MS)),
    );
    world.after(ZONE_LOST_AT_MS, () => loseZoneOfLeader(scope));
    world.after(LEADER_CUT_AT_MS, () => {
      const leader = world.controls.find(({ isLeader }) => isLeader);
      if (leader !== undefined) {
        faults.cutOff([leader], LEADER_CUT_MS);
      }
    });
  },
};

function loseZoneOfLeader({ world, faults }: ScenarioScope): void {
  const zone = world.controls.find(({ isLeader }) => isLeader)?.zone;
  const machines: SimulatedProcess[] = [...world.controls, ...world.balancers];
  faults.cutOff(
    machines.filter((machine) => machine.zone === zone),
    ZONE_LOST_MS,
  );
}
