/**
 * @file Scenarios of the placement benchmark: tenfold surges with varying report lags, balancer counts,
 * membership changes and faulty load reports.
 */
import type { PlacementChange, PlacementScenario } from './placement-simulation.js';

/** A scenario without the fields that differ between runs. */
export type ScenarioTemplate = Omit<PlacementScenario, 'policy' | 'packetPath' | 'seed'>;

/** A scenario and the name that `--set scenario` matches. */
export interface NamedScenario {
  readonly name: string;
  readonly scenario: ScenarioTemplate;
}

const REPORT_LAGS_MS = [100, 1_000, 5_000] as const;
const BALANCER_COUNTS = [1, 3, 30] as const;
const SURGE_START_MS = 40_000;
const SURGE_MS = 40_000;

/** Models authd: 10 back ends with 2 slots each and long-lived flows with few requests. */
const authd: ScenarioTemplate = {
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

/** Models board-api in Cairo, which has a higher latency between zones. */
const boardApi: ScenarioTemplate = { ...authd, crossZoneMs: 1.5 };
/** Models settled and scan-intake, which have 3 back ends. */
const settled: ScenarioTemplate = {
  ...authd,
  backends: 3,
  opensPerSecond: authd.opensPerSecond * 0.3,
};

/** All combinations of report lags and balancer counts. */
const surgeScenarios: readonly NamedScenario[] = REPORT_LAGS_MS.flatMap((reportLagMs) =>
  BALANCER_COUNTS.map((balancers) => ({
    name: `surge, reports ${reportLagMs / 1_000} s late, balancers ${balancers}`,
    scenario: { ...authd, balancers, shape: { ...authd.shape, reportLagMs } },
  })),
);

/** All scenarios of the benchmark. */
export const placementScenarios: readonly NamedScenario[] = [
  ...surgeScenarios,
  { name: 'surge, board-api', scenario: boardApi },
  { name: 'surge, 3 back ends', scenario: settled },
  {
    name: 'surge, 2 cold joins',
    scenario: { ...authd, changes: repeatedChanges('backend-joins', 2) },
  },
  {
    name: 'surge, 2 drains',
    scenario: { ...authd, changes: repeatedChanges('backend-drains', 2) },
  },
  {
    name: 'surge, a balancer joins and one dies',
    scenario: {
      ...authd,
      changes: [...repeatedChanges('balancer-joins', 1), { atMs: 60_000, type: 'balancer-dies' }],
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

/** Name of the scenario that the imbalance targets apply to. */
export const TARGET_SCENARIO = 'surge, reports 1 s late, balancers 3';

function repeatedChanges(type: PlacementChange['type'], count: number): PlacementChange[] {
  const firstAtMs = SURGE_START_MS + 5_000;
  const gapMs = 10_000;
  return Array.from({ length: count }, (_, index) => ({ atMs: firstAtMs + index * gapMs, type }));
}
