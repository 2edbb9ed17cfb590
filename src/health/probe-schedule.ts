/**
 * @file When each back end is probed next. One probe per back end is under way at a time.
 */
import type { Backend } from '../control/cluster-state.js';

/** The state of a probe schedule. */
export interface ProbeSchedule {
  readonly intervalMs: number;
  /** When the next probe is due, by back end ID. */
  readonly dueAtMs: Map<number, number>;
  /** When the probe that is under way began, by back end ID. */
  readonly running: Map<number, number>;
}

/** Probe this back end; answered by a `probe-result` event. */
export interface ProbeEffect {
  readonly type: 'probe';
  readonly backend: Backend;
}

/**
 * @returns an empty schedule
 */
export function createProbeSchedule(intervalMs: number): ProbeSchedule {
  return { intervalMs, dueAtMs: new Map(), running: new Map() };
}

/**
 * @returns the probes that are due; a back end not seen before is due at once
 */
export function dueProbes(
  schedule: ProbeSchedule,
  backends: Iterable<Backend>,
  nowMs: number,
): ProbeEffect[] {
  const effects: ProbeEffect[] = [];
  for (const backend of backends) {
    const due = schedule.dueAtMs.get(backend.id) ?? 0;
    if (due <= nowMs && !schedule.running.has(backend.id)) {
      schedule.running.set(backend.id, nowMs);
      schedule.dueAtMs.set(backend.id, nowMs + schedule.intervalMs);
      effects.push({ type: 'probe', backend });
    }
  }
  return effects;
}

/**
 * Notes that a probe has ended.
 * @returns when it began; undefined where none was under way
 */
export function probeEnded(schedule: ProbeSchedule, backendId: number): number | undefined {
  const startedAtMs = schedule.running.get(backendId);
  schedule.running.delete(backendId);
  return startedAtMs;
}
