/**
 * @file A fleet of balancers before back ends of unequal speed, without any network: what a choice does to those who
 * wait. Each balancer sees its own requests at once, and those of the others as they were told half a second ago.
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

/** The load and who bears it. */
export interface ChoiceLoad {
  readonly policy: MechanismSwitches;
  /** Of the back ends in turn: 2 works twice as fast as 1. */
  readonly speeds: readonly number[];
  readonly requestsPerS: number;
  readonly seed: number;
  readonly seconds?: number;
  /** @returns how much faster a back end works at a time than its speed says; 1 where not given */
  readonly changeOf?: (backend: number, nowMs: number) => number;
  /** False where no table of another balancer ever comes. */
  readonly isTold?: boolean;
}

/** Who waited. */
export interface ChoiceOutcome {
  /** Milliseconds from the open to the answer, sorted. */
  readonly tookMs: readonly number[];
  /** Share of the requests by back end. */
  readonly shares: readonly number[];
}

const BALANCERS = 20;
const SLOTS = 2;
const TOLD_EVERY_MS = 500;
const MEAN_WORK_MS = 27;
/** Three in a hundred take seven times as long. */
const TAIL = { share: 0.03, times: 7 };

interface Balancer {
  readonly table: BackendTable;
  readonly backends: readonly KnownBackend[];
  readonly placement: ReturnType<typeof createPlacement>;
}

/** Plays the load. */
export function playChoiceLoad(load: ChoiceLoad): ChoiceOutcome {
  const { speeds, requestsPerS, seconds = 20, changeOf = () => 1, isTold = true } = load;
  const random = seededRandom(load.seed);
  const fleet = Array.from({ length: BALANCERS }, () => createBalancer(load.policy, speeds.length));
  const freeAtMs = speeds.map(() => Array.from({ length: SLOTS }, () => 0));
  const ends: { readonly atMs: number; readonly run: () => void }[] = [];
  const tookMs: number[] = [];
  const taken = speeds.map(() => 0);
  let nextTellMs = 0;
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += gapMs()) {
    finishUntil(nowMs);
    if (isTold && nowMs >= nextTellMs) {
      nextTellMs = nowMs + TOLD_EVERY_MS;
      tellAll(fleet, nowMs);
    }
    arrive(nowMs);
  }
  const total = taken.reduce((sum, count) => sum + count, 0);
  const shares = taken.map((count) => count / total);
  return { tookMs: tookMs.sort((one, other) => one - other), shares };

  function gapMs(): number {
    return (-Math.log(1 - random.nextFloat()) * 1_000) / requestsPerS;
  }

  function arrive(nowMs: number): void {
    const balancer = fleet[random.nextInt(BALANCERS)];
    const hash = Math.floor(random.nextFloat() * 2 ** 32);
    const chosen = balancer?.placement.choose(balancer.backends, hash, nowMs);
    const at = chosen === undefined ? -1 : (balancer?.backends.indexOf(chosen) ?? -1);
    const slots = freeAtMs[at];
    if (chosen === undefined || slots === undefined) {
      throw new Error('Nothing was chosen.');
    }
    const work = MEAN_WORK_MS * (random.nextFloat() < TAIL.share ? TAIL.times : 1);
    const workMs = (work * (0.5 + random.nextFloat())) / ((speeds[at] ?? 1) * changeOf(at, nowMs));
    const slot = slots.indexOf(Math.min(...slots));
    const endMs = Math.max(nowMs, slots[slot] ?? 0) + workMs;
    slots[slot] = endMs;
    chosen.local.changeBusy(1);
    taken[at] = (taken[at] ?? 0) + 1;
    ends.push({ atMs: endMs, run: () => answer(chosen, endMs - nowMs, endMs) });
  }

  function answer(backend: KnownBackend, took: number, nowMs: number): void {
    backend.local.changeBusy(-1);
    backend.local.answers.recordAnswer(took, nowMs);
    tookMs.push(took);
  }

  function finishUntil(nowMs: number): void {
    ends.sort((one, other) => other.atMs - one.atMs);
    while ((ends.at(-1)?.atMs ?? Infinity) <= nowMs) {
      ends.pop()?.run();
    }
  }
}

function createBalancer(policy: MechanismSwitches, count: number): Balancer {
  const table = new BackendTable(1_200);
  for (let number = 1; number <= count; number += 1) {
    table.applyRecord({ record: recordOf(number, { capacity: SLOTS }), ageMs: 0 }, 0);
  }
  const coldShare = createSlowStart({
    bounds: undefined,
    heartbeatIntervalMs: 1_200,
    zones: createZoneTable(),
    peers: createPeerTable('balancer'),
    warmUpOf: () => undefined,
    knowsOthers: () => true,
  });
  const placement = createPlacement('zone-a', policy, coldShare);
  return { table, backends: [...table.all()], placement };
}

/** Each balancer hears the sums of all others, as a control machine makes them. */
function tellAll(fleet: readonly Balancer[], nowMs: number): void {
  const told = fleet.map((balancer) => {
    const others = fleet.filter((other) => other !== balancer);
    const rows = balancer.backends.map(({ token }, at) => {
      const seen = others.flatMap(({ backends }) => backends[at] ?? []);
      const signals = seen.map(({ local }) => local.answers.stats(nowMs));
      return {
        token,
        busy: sum(seen.map(({ local }) => local.busy)),
        signals: {
          stalled: 0,
          answered: sum(signals.map(({ answered }) => answered)),
          answerMs: sum(signals.map(({ answerMs }) => answerMs)),
          short: 0,
        },
      };
    });
    return {
      loads: packLoads(rows),
      signals: packAnswerStats(rows.map((row) => [row.token, row.signals])),
    };
  });
  fleet.forEach(({ table }, at) => {
    table.applyFleetLoads(told[at]?.loads ?? []);
    table.applyFleetAnswerStats(told[at]?.signals ?? []);
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
