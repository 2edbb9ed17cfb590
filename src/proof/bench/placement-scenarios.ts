/**
 * @file The scenarios of the placement bench: tenfold surges on the shapes of the two deployments,
 * with reports of several ages, several numbers of balancers, changes of back ends and balancers, and
 * load reports that lie.
 */
import type { PlacementChange, PlacementScenario } from './placement-world.js';

/** A scenario without what differs from run to run. */
export type ScenarioShape = Omit<PlacementScenario, 'policy' | 'packetPath' | 'seed'>;

/** A scenario with its name. */
export interface NamedScenario {
  readonly name: string;
  readonly scenario: ScenarioShape;
}

const REPORT_LAGS_MS = [100, 1_000, 5_000] as const;
const BALANCER_COUNTS = [1, 3, 30] as const;
const SURGE_START_MS = 40_000;
const SURGE_MS = 40_000;

/**
 * The shape of authd: 10 back ends with 2 slots, and about 1,800 connections each at the end of the
 * surge. A flow asks when it opens and then each 30 s on average.
 */
const authd: ScenarioShape = {
  balancers: 3,
  backends: 10,
  shape: { slots: 2, connectionLimit: 2_400, serviceMs: 12, reportLagMs: 1_000 },
  reportIntervalMs: 500,
  opensPerSecond: 60,
  surgeFactor: 10,
  surgeStartMs: SURGE_START_MS,
  endMs: SURGE_START_MS + SURGE_MS,
  flowLifeMs: 30_000,
  requestIntervalMs: 30_000,
  crossZoneMs: 0.5,
  changes: [],
  liars: [],
};

/** The same in Cairo, where zones are further apart. */
const boardApi: ScenarioShape = { ...authd, crossZoneMs: 1.5 };
/** The shape of settled and scan-intake: 3 back ends. */
const settled: ScenarioShape = {
  ...authd,
  backends: 3,
  opensPerSecond: authd.opensPerSecond * 0.3,
};

/** Ages of reports and numbers of balancers, each with each. */
const surges: readonly NamedScenario[] = REPORT_LAGS_MS.flatMap((reportLagMs) =>
  BALANCER_COUNTS.map((balancers) => ({
    name: `surge, reports ${reportLagMs / 1_000} s late, balancers ${balancers}`,
    scenario: { ...authd, balancers, shape: { ...authd.shape, reportLagMs } },
  })),
);

/** Every scenario. */
export const placementScenarios: readonly NamedScenario[] = [
  ...surges,
  { name: 'surge, board-api', scenario: boardApi },
  { name: 'surge, 3 back ends', scenario: settled },
  {
    name: 'surge, 2 cold joins',
    scenario: { ...authd, changes: changesOf('backend-joins', 2) },
  },
  { name: 'surge, 2 drains', scenario: { ...authd, changes: changesOf('backend-drains', 2) } },
  {
    name: 'surge, a balancer joins and one dies',
    scenario: {
      ...authd,
      changes: [...changesOf('balancer-joins', 1), { atMs: 60_000, type: 'balancer-dies' }],
    },
  },
  {
    name: 'surge, 2 back ends misreport',
    scenario: {
      ...authd,
      liars: [
        { backendId: 1, fault: 'idle' },
        { backendId: 2, fault: 'frozen' },
      ],
    },
  },
];

/** The scenario that the targets are about. */
export const TARGET_SCENARIO = 'surge, reports 1 s late, balancers 3';

function changesOf(type: PlacementChange['type'], count: number): PlacementChange[] {
  const firstAtMs = SURGE_START_MS + 5_000;
  const gapMs = 10_000;
  return Array.from({ length: count }, (_, index) => ({ atMs: firstAtMs + index * gapMs, type }));
}
