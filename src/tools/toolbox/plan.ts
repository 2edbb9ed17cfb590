/**
 * @file Predicts the effect of adding, draining or retiring a back end: flows that move, connections per back end, drain
 * time, and whether capacity would still suffice after the loss of a third of the back ends.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import type { ChangeCommand } from '../../managed/control/commands.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { ExportedBackend, ExportedService, StateExport } from './state-export.js';

/** Assumptions that an export doesn't contain. */
export interface PlanOptions {
  /** Connections per back end if the service sets no limit. */
  readonly connectionLimit: number;
  /** Flows per second that leave a draining back end. */
  readonly movesPerSecond: number;
}

/** Connections of one back end. */
export interface PlannedLoad {
  /** Undefined for a back end that the change adds. */
  readonly backendId: number | undefined;
  readonly zone: string;
  readonly before: number;
  /** Peak during the change: each flow is opened elsewhere before it leaves. */
  readonly during: number;
  readonly after: number;
}

/** Predicted effect of a change. */
export interface ChangePlan {
  readonly service: string;
  /** Flows that leave their back end. */
  readonly flowsMoved: number;
  readonly timeToDrainMs: number;
  readonly connectionLimit: number;
  readonly loads: readonly PlannedLoad[];
  /** True if every back end stays within its limit during and after the change. */
  readonly fits: boolean;
  /** A third of the remaining back ends, rounded up. */
  readonly lostBackends: number;
  /** True if the others could take all connections after the loss of that third. */
  readonly fitsWithoutThird: boolean;
  /** Connections per surviving back end after that loss, spread evenly. */
  readonly connectionsWithoutThird: number;
}

const LOST_FRACTION = 1 / 3;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * @returns the predicted effect; `not-found` if the export lacks the service or back end, `invalid-command` for other
 *   changes
 */
export function planChange(
  exported: StateExport,
  change: ChangeCommand,
  options: PlanOptions,
): Result<ChangePlan, AmberliftError> {
  return match(change)
    .with({ type: 'add-backend' }, ({ service, zone }) =>
      findService(exported, service).map((found) =>
        planForService(exported, found, undefined, zone, options),
      ),
    )
    .with({ type: 'drain-backend' }, { type: 'retire-backend' }, ({ backendId }) =>
      findBackend(exported, backendId).andThen((backend) =>
        findService(exported, backend.service).map((service) =>
          planForService(exported, service, backend, undefined, options),
        ),
      ),
    )
    .otherwise(() => {
      const message = 'Only adding, draining or retiring a back end can be planned.';
      return err(amberliftError('invalid-command', message));
    });
}

function planForService(
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
  const afterwards = spreadFlows(active.map(connectionsOf), flowsMoved);
  const loads: PlannedLoad[] = active.map((backend, index) => {
    const after = afterwards[index] ?? 0;
    return { ...loadBefore(backend), during: after, after };
  });
  if (leaving !== undefined) {
    loads.push({ ...loadBefore(leaving), during: flowsMoved, after: 0 });
  }
  if (joiningZone !== undefined) {
    // Adding moves no flow: only new flows go to the new back end.
    loads.push({ backendId: undefined, zone: joiningZone, before: 0, during: 0, after: 0 });
  }
  const remaining = active.length + Number(joiningZone !== undefined);
  const hasTarget = remaining > 0 || flowsMoved === 0;
  return {
    service: service.name,
    flowsMoved,
    timeToDrainMs: Math.ceil((flowsMoved * MILLISECONDS_PER_SECOND) / options.movesPerSecond),
    connectionLimit: limit,
    loads,
    fits: hasTarget && loads.every(({ during }) => during <= limit),
    ...lossOfThird(remaining, sum(active.map(connectionsOf)) + flowsMoved, limit),
  };
}

function lossOfThird(remaining: number, connections: number, limit: number) {
  const lostBackends = Math.ceil(remaining * LOST_FRACTION);
  const survivors = remaining - lostBackends;
  const connectionsWithoutThird =
    survivors === 0 ? connections : Math.ceil(connections / survivors);
  return {
    lostBackends,
    connectionsWithoutThird,
    fitsWithoutThird: survivors > 0 ? connectionsWithoutThird <= limit : connections === 0,
  };
}

/** Assigns each flow to the least loaded back end; returns the resulting loads in the same order. */
function spreadFlows(loads: readonly number[], flows: number): number[] {
  const level = fillLevel(loads, flows);
  const filled = loads.map((load) => Math.max(load, level));
  let unassigned = flows - (sum(filled) - sum(loads));
  return filled.map((load) => {
    const takesOne = unassigned > 0 && load === level;
    unassigned -= Number(takesOne);
    return takesOne ? load + 1 : load;
  });
}

/** @returns the highest integer level to which `flows` can raise all lower loads */
function fillLevel(loads: readonly number[], flows: number): number {
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
    ? err(amberliftError('not-found', `The export has no service ${name}.`))
    : ok(service);
}

function findBackend(exported: StateExport, id: number): Result<ExportedBackend, AmberliftError> {
  const backend = exported.backends.find((one) => one.id === id);
  return backend === undefined
    ? err(amberliftError('not-found', `The export has no back end ${id}.`))
    : ok(backend);
}
