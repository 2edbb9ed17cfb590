/**
 * @file What one change of back ends would do: flows that move, connections per back end while they
 * move and afterwards, how long a drain takes, and whether the loss of a third of the back ends would
 * still fit.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import type { ChangeCommand } from '../../managed/control/commands.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { ExportedBackend, ExportedService, StateExport } from './state-export.js';

/** What an export doesn't hold. */
export interface PlanOptions {
  /** Connections that one back end holds, where the service sets no limit. */
  readonly connectionLimit: number;
  /** Flows that a draining back end lets go a second. */
  readonly movesPerSecond: number;
}

/** Connections of one back end. */
export interface PlannedLoad {
  /** Undefined for a back end that the change adds. */
  readonly backendId: number | undefined;
  readonly zone: string;
  readonly before: number;
  /** Highest while flows move: each opens elsewhere before it leaves. */
  readonly during: number;
  readonly after: number;
}

/** What the change would do. */
export interface ChangePlan {
  readonly service: string;
  /** Flows that leave their back end. */
  readonly flowsMoved: number;
  readonly timeToDrainMs: number;
  readonly connectionLimit: number;
  readonly loads: readonly PlannedLoad[];
  /** True where all fit into their limits while flows move and afterwards. */
  readonly fits: boolean;
  /** Back ends that are a third of those left, rounded up. */
  readonly lostBackends: number;
  /** True where the others would still hold all connections without those. */
  readonly fitsWithoutThird: boolean;
  /** Connections of each of the others then, if spread evenly. */
  readonly connectionsWithoutThird: number;
}

const LOST_PART = 1 / 3;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * @returns what the change would do, or `not-found` or `invalid-command` where it names no back end
 *   of the export or changes none
 */
export function planChange(
  exported: StateExport,
  change: ChangeCommand,
  options: PlanOptions,
): Result<ChangePlan, AmberliftError> {
  return match(change)
    .with({ type: 'add-backend' }, ({ service, zone }) =>
      findService(exported, service).map((found) =>
        planFor(exported, found, undefined, zone, options),
      ),
    )
    .with({ type: 'drain-backend' }, { type: 'retire-backend' }, ({ backendId }) =>
      findBackend(exported, backendId).andThen((backend) =>
        findService(exported, backend.service).map((service) =>
          planFor(exported, service, backend, undefined, options),
        ),
      ),
    )
    .otherwise(() => {
      const message = 'A plan is made for adding, draining or retiring a back end.';
      return err(amberliftError('invalid-command', message));
    });
}

function planFor(
  exported: StateExport,
  service: ExportedService,
  leaving: ExportedBackend | undefined,
  joiningZone: string | undefined,
  options: PlanOptions,
): ChangePlan {
  const limit = service.limits.connectionsPerBackend ?? options.connectionLimit;
  const backends = exported.backends.filter((backend) => backend.service === service.name);
  const active = backends.filter(
    (backend) => backend.adminState === 'active' && backend.id !== leaving?.id,
  );
  const flowsMoved = connectionsOf(leaving);
  const afterwards = spread(active.map(connectionsOf), flowsMoved);
  const loads: PlannedLoad[] = active.map((backend, index) => {
    const after = afterwards[index] ?? 0;
    return { ...loadBefore(backend), during: after, after };
  });
  if (leaving !== undefined) {
    loads.push({ ...loadBefore(leaving), during: flowsMoved, after: 0 });
  }
  if (joiningZone !== undefined) {
    // Adding moves no flow: the new back end is filled by new ones.
    loads.push({ backendId: undefined, zone: joiningZone, before: 0, during: 0, after: 0 });
  }
  const remaining = active.length + Number(joiningZone !== undefined);
  const placed = remaining > 0 || flowsMoved === 0;
  return {
    service: service.name,
    flowsMoved,
    timeToDrainMs: Math.ceil((flowsMoved * MILLISECONDS_PER_SECOND) / options.movesPerSecond),
    connectionLimit: limit,
    loads,
    fits: placed && loads.every(({ during }) => during <= limit),
    ...lossOfThird(remaining, sum(active.map(connectionsOf)) + flowsMoved, limit),
  };
}

function lossOfThird(remaining: number, connections: number, limit: number) {
  const lostBackends = Math.ceil(remaining * LOST_PART);
  const left = remaining - lostBackends;
  const connectionsWithoutThird = left === 0 ? connections : Math.ceil(connections / left);
  return {
    lostBackends,
    connectionsWithoutThird,
    fitsWithoutThird: left > 0 ? connectionsWithoutThird <= limit : connections === 0,
  };
}

/** Gives each flow to the least loaded; returns the loads afterwards, in the same order. */
function spread(loads: readonly number[], flows: number): number[] {
  const level = levelFor(loads, flows);
  const filled = loads.map((load) => Math.max(load, level));
  let left = flows - (sum(filled) - sum(loads));
  return filled.map((load) => {
    const takesOne = left > 0 && load === level;
    left -= Number(takesOne);
    return takesOne ? load + 1 : load;
  });
}

/** The highest whole level to which all lower loads can be filled with so many flows. */
function levelFor(loads: readonly number[], flows: number): number {
  let low = 0;
  let high = Math.max(0, ...loads) + flows;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    const needed = sum(loads.map((load) => Math.max(0, middle - load)));
    if (needed <= flows && loads.length > 0) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

function loadBefore(backend: ExportedBackend) {
  return { backendId: backend.id, zone: backend.zone, before: connectionsOf(backend) };
}

function connectionsOf(backend: ExportedBackend | undefined): number {
  return backend?.load?.connections ?? 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function findService(exported: StateExport, name: string): Result<ExportedService, AmberliftError> {
  const service = exported.services.find((one) => one.name === name);
  return service === undefined
    ? err(amberliftError('not-found', `There is no service ${name} in the export.`))
    : ok(service);
}

function findBackend(exported: StateExport, id: number): Result<ExportedBackend, AmberliftError> {
  const backend = exported.backends.find((one) => one.id === id);
  return backend === undefined
    ? err(amberliftError('not-found', `There is no back end ${id} in the export.`))
    : ok(backend);
}
