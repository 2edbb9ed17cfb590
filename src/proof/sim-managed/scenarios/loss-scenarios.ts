/**
 * @file Scenario with failures of several machines at once: all control machines, then a whole zone, then the
 * leader. Operators keep sending changes.
 */
import type { SimulatedProcess } from '../simulated-process.js';
import { smallWorld } from '../world-plan.js';
import { changePolicy } from './operator-changes.js';
import {
  publishRegularly,
  FAULT_FREE_END_MS,
  type Scenario,
  type ScenarioScope,
} from './scenario.js';

const CONTROLS_DOWN_AT_MS = 2_000;
const CONTROLS_DOWN_MS = 1_000;
const ZONE_CUT_AT_MS = 9_000;
const ZONE_CUT_MS = 7_000;
const LEADER_CUT_AT_MS = 22_000;
const LEADER_CUT_MS = 6_000;
/** Times of changes: before, during and after the failures; during one only once a new leader is expected. */
const CHANGE_TIMES_MS = [500, 6_500, 13_500, 20_000, 26_500, 30_000] as const;
const DURATION_MS = 31_000 + FAULT_FREE_END_MS;

/** Enough balancers in three zones that some relay the configuration to others. */
const BALANCERS = 12;

/** All control machines crash; later the leader's zone, then the leader, is cut off. */
export const lostZone: Scenario = {
  name: 'lost-zone',
  description:
    'All control machines crash at once; then the zone of the leader is cut off, then the leader, while operators send changes.',
  plan: { ...smallWorld, balancers: BALANCERS, balancerZones: 3 },
  durationMs: DURATION_MS,
  schedule: (scope) => {
    const { world, faults } = scope;
    publishRegularly(scope, DURATION_MS, 500);
    CHANGE_TIMES_MS.forEach((atMs) => world.after(atMs, () => changePolicy(scope)));
    world.after(CONTROLS_DOWN_AT_MS, () =>
      world.controls.forEach((control) => faults.crash(control, CONTROLS_DOWN_MS)),
    );
    world.after(ZONE_CUT_AT_MS, () => cutOffLeaderZone(scope));
    world.after(LEADER_CUT_AT_MS, () => {
      const leader = world.controls.find(({ isLeader }) => isLeader);
      if (leader !== undefined) {
        faults.cutOff([leader], LEADER_CUT_MS);
      }
    });
  },
};

function cutOffLeaderZone({ world, faults }: ScenarioScope): void {
  const zone = world.controls.find(({ isLeader }) => isLeader)?.zone;
  const machines: SimulatedProcess[] = [...world.controls, ...world.balancers];
  faults.cutOff(
    machines.filter((machine) => machine.zone === zone),
    ZONE_CUT_MS,
  );
}
