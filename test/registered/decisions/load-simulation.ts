/**
 * @file Simulates requests of many balancers to back ends of given speeds, without a network. Each balancer
 * sees its own requests at once, and the sums of the others with each report.
 */
import { seededRandom } from '../../../src/shared/common/random.js';
import { packLoads } from '../../../src/registered/load-exchange/backend-load.js';
import { packAnswerStats } from '../../../src/registered/load-exchange/answer-stats.js';
import { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import type { KnownBackend } from '../../../src/registered/ingress/known-backend.js';
import { createSlowStart } from '../../../src/registered/decisions/slow-start.js';
import { createPeerTable } from '../../../src/registered/ingress/peer-table.js';
import { createPlacement } from '../../../src/registered/decisions/placement.js';
import type { MechanismSwitches } from '../../../src/registered/decisions/mechanism-switches.js';
import { createZoneTable } from '../../../src/registered/ingress/zone-table.js';
import { recordOf } from './backend-records.js';

/** The load and the back ends of a simulation. */
export interface SimulatedLoad {
  readonly policy: MechanismSwitches;
  /** Speed of each back end: 2 works twice as fast as 1. */
  readonly speeds: readonly number[];
  readonly requestsPerS: number;
  readonly seed: number;
  readonly seconds?: number;
  /** @returns the factor on the speed of a back end at a time; 1 by default */
  readonly speedFactorOf?: (backend: number, nowMs: number) => number;
  /** False to simulate balancers without any reports of the others. */
  readonly sharesLoads?: boolean;
}

/** Latencies and shares that a simulation ended with. */
export interface SimulatedOutcome {
  /** From the open to the answer, sorted. */
  readonly latenciesMs: readonly number[];
  /** Share of the requests by back end. */
  readonly shares: readonly number[];
}

const BALANCER_COUNT = 20;
const SLOTS_PER_BACKEND = 2;
const REPORT_INTERVAL_MS = 500;
const MEAN_WORK_MS = 27;
/** Share of slow requests, and how many times as long they take. */
const TAIL = { share: 0.03, factor: 7 };

interface Balancer {
  readonly table: BackendTable;
  readonly backends: readonly KnownBackend[];
  readonly placement: ReturnType<typeof createPlacement>;
}

/** @returns the outcome; the same seed gives the same one */
export function simulateLoad(load: SimulatedLoad): SimulatedOutcome {
  const { speeds, requestsPerS, seconds = 20, speedFactorOf = () => 1, sharesLoads = true } = load;
  const random = seededRandom(load.seed);
  const fleet = Array.from({ length: BALANCER_COUNT }, () =>
    createBalancer(load.policy, speeds.length),
  );
  const freeAtMs = speeds.map(() => Array.from({ length: SLOTS_PER_BACKEND }, () => 0));
  const completions: { readonly atMs: number; readonly run: () => void }[] = [];
  const latenciesMs: number[] = [];
  const requestCounts = speeds.map(() => 0);
  let nextReportMs = 0;
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += interarrivalMs()) {
    completeUntil(nowMs);
    if (sharesLoads && nowMs >= nextReportMs) {
      nextReportMs = nowMs + REPORT_INTERVAL_MS;
      shareLoads(fleet, nowMs);
    }
    startRequest(nowMs);
  }
  const total = requestCounts.reduce((sum, count) => sum + count, 0);
  const shares = requestCounts.map((count) => count / total);
  return { latenciesMs: latenciesMs.sort((one, other) => one - other), shares };

  function interarrivalMs(): number {
    return (-Math.log(1 - random.nextFloat()) * 1_000) / requestsPerS;
  }

  function startRequest(nowMs: number): void {
    const balancer = fleet[random.nextInt(BALANCER_COUNT)];
    const hash = Math.floor(random.nextFloat() * 2 ** 32);
    const chosen = balancer?.placement.choose(balancer.backends, hash, nowMs);
    const index = chosen === undefined ? -1 : (balancer?.backends.indexOf(chosen) ?? -1);
    const slots = freeAtMs[index];
    if (chosen === undefined || slots === undefined) {
      throw new Error('Placement chose no back end.');
    }
    const work = MEAN_WORK_MS * (random.nextFloat() < TAIL.share ? TAIL.factor : 1);
    const workMs =
      (work * (0.5 + random.nextFloat())) / ((speeds[index] ?? 1) * speedFactorOf(index, nowMs));
    const slot = slots.indexOf(Math.min(...slots));
    const endMs = Math.max(nowMs, slots[slot] ?? 0) + workMs;
    slots[slot] = endMs;
    chosen.local.changeBusy(1);
    requestCounts[index] = (requestCounts[index] ?? 0) + 1;
    completions.push({ atMs: endMs, run: () => completeRequest(chosen, endMs - nowMs, endMs) });
  }

  function completeRequest(backend: KnownBackend, latencyMs: number, nowMs: number): void {
    backend.local.changeBusy(-1);
    backend.local.answers.recordAnswer(latencyMs, nowMs);
    latenciesMs.push(latencyMs);
  }

  function completeUntil(nowMs: number): void {
    completions.sort((one, other) => other.atMs - one.atMs);
    while ((completions.at(-1)?.atMs ?? Infinity) <= nowMs) {
      completions.pop()?.run();
    }
  }
}

function createBalancer(policy: MechanismSwitches, count: number): Balancer {
  const table = new BackendTable(1_200);
  for (let number = 1; number <= count; number += 1) {
    table.applyRecord({ record: recordOf(number, { capacity: SLOTS_PER_BACKEND }), ageMs: 0 }, 0);
  }
  const slowStart = createSlowStart({
    bounds: undefined,
    heartbeatIntervalMs: 1_200,
    zones: createZoneTable(),
    peers: createPeerTable('balancer'),
    warmUpOf: () => undefined,
    isFeedCurrent: () => true,
  });
  const placement = createPlacement('zone-a', policy, slowStart);
  return { table, backends: [...table.all()], placement };
}

/** Gives each balancer the sums over all others, as control machines do. */
function shareLoads(fleet: readonly Balancer[], nowMs: number): void {
  const reports = fleet.map((balancer) => {
    const others = fleet.filter((other) => other !== balancer);
    const rows = balancer.backends.map(({ token }, index) => {
      const observed = others.flatMap(({ backends }) => backends[index] ?? []);
      const statsOfOthers = observed.map(({ local }) => local.answers.stats(nowMs));
      return {
        token,
        busy: sum(observed.map(({ local }) => local.busy)),
        answerStats: {
          stalled: 0,
          answered: sum(statsOfOthers.map(({ answered }) => answered)),
          answerMs: sum(statsOfOthers.map(({ answerMs }) => answerMs)),
          short: 0,
        },
      };
    });
    return {
      loads: packLoads(rows),
      answerStats: packAnswerStats(rows.map((row) => [row.token, row.answerStats])),
    };
  });
  fleet.forEach(({ table }, index) => {
    table.applyFleetLoads(reports[index]?.loads ?? []);
    table.applyFleetAnswerStats(reports[index]?.answerStats ?? []);
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
