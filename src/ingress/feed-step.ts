/**
 * @file What a balancer takes from its control machine and from other balancers.
 */
import type { FeedMessage } from '../group/group-messages.js';
import type { KnownBackend, Liveness } from './backend-table.js';
import type { BackendLoadReport, IngressState } from './ingress-state.js';
import { livenessOf } from './placement.js';

/** A back end that is judged otherwise than before. */
export interface JudgedAnew {
  readonly backend: KnownBackend;
  readonly from: Liveness;
  readonly to: Liveness;
}

/** A report of another balancer counts for so long. */
const REPORT_LIFETIME_MS = 1_500;

/**
 * Takes a message of the control machine.
 * @returns true where it put another configuration in force
 */
export function takeFeed(state: IngressState, message: FeedMessage, nowMs: number): boolean {
  message.records?.forEach((aged) => state.backends.take(aged, nowMs));
  message.departures?.forEach((departure) => state.backends.depart(departure, nowMs));
  const isNewer = message.config !== undefined && state.routes.take(message.config);
  if (message.balancers !== undefined) {
    state.hasPeers = message.balancers.some(({ name }) => name !== state.options.name);
  }
  if (message.isCurrent) {
    state.currentAtMs = nowMs;
    state.firstCurrentAtMs ??= nowMs;
    state.backends.observe(nowMs);
  }
  return isNewer;
}

/**
 * @returns what passes this balancer, for the others; back ends without any are left out
 */
export function ownReport(state: IngressState): BackendLoadReport[] {
  const loads: BackendLoadReport[] = [];
  for (const { token, own } of state.backends.all()) {
    if (own.busy > 0 || own.flows > 0) {
      loads.push({ token, busy: own.busy, flows: own.flows });
    }
  }
  return loads;
}

/**
 * Takes the report of another balancer.
 */
export function takeReport(
  state: IngressState,
  name: string,
  loads: readonly BackendLoadReport[],
  nowMs: number,
): void {
  state.reports.set(name, { loads, heardAtMs: nowMs });
  sumReports(state, nowMs);
}

/**
 * Forgets what is old: flows at rest, back ends that are gone, reports of balancers that are silent.
 * @returns back ends that are judged otherwise than before
 */
export function ingressTick(state: IngressState, nowMs: number): JudgedAnew[] {
  state.activities.sweep(nowMs);
  state.backends.forget(nowMs, state.options.flowLifetimeMs);
  sumReports(state, nowMs);
  return [...state.backends.all()].flatMap((backend) => judgeAnew(state, backend));
}

function judgeAnew(state: IngressState, backend: KnownBackend): JudgedAnew[] {
  const from = backend.liveness;
  const to = livenessOf(state.backends.silentMs(backend), state.options);
  backend.liveness = to;
  return from === to ? [] : [{ backend, from, to }];
}

function sumReports(state: IngressState, nowMs: number): void {
  for (const { others } of state.backends.all()) {
    others.busy = 0;
    others.flows = 0;
  }
  for (const [name, { loads, heardAtMs }] of state.reports) {
    if (nowMs - heardAtMs > REPORT_LIFETIME_MS) {
      state.reports.delete(name);
      continue;
    }
    for (const { token, busy, flows } of loads) {
      const backend = state.backends.resolve(token);
      if (backend !== undefined) {
        backend.others.busy += busy;
        backend.others.flows += flows;
      }
    }
  }
}
