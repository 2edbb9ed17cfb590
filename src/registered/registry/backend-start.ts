/**
 * @file IDs of the starts (incarnations) of a back end: its name and its start time. A restarted back end has no state
 * of its predecessor, so records, departures, loads and tokens are kept per start. current-starts.ts tracks which start
 * is current.
 */

import { boundedName } from './bounded-name.js';

/** One start of a back end, that is the life of one process. */
export interface BackendStart {
  /** Name of the back end, the same for all its starts. */
  readonly backend: string;
  /** Unix time in milliseconds, on the clock of the back end; undefined if it reports none. */
  readonly startedAtMs: number | undefined;
}

/** Separates name and start time; not allowed in names. */
const START_SEPARATOR = '#';
const START_ID_PATTERN = /^(.+)#(\d+)$/s;

/** @returns the ID of a start, `name#startedAtMs`; the plain name if it has no start time. Long names are shortened */
export function startIdOf({ backend, startedAtMs }: BackendStart): string {
  const name = boundedName(backend);
  return startedAtMs === undefined ? name : `${name}${START_SEPARATOR}${startedAtMs}`;
}

/** @returns the start that an ID stands for; an ID without a start time is the name of the back end */
export function startOf(id: string): BackendStart {
  const [, backend, startedAt] = START_ID_PATTERN.exec(id) ?? [];
  return backend === undefined
    ? { backend: id, startedAtMs: undefined }
    : { backend, startedAtMs: Number(startedAt) };
}

/** @returns true if the name can be part of a start ID */
export function isValidBackendName(name: string): boolean {
  return !name.includes(START_SEPARATOR);
}

/** @returns true if `one` began later than `other`; a start without a time comes before all others */
export function isLaterStart(one: BackendStart, other: BackendStart): boolean {
  return (one.startedAtMs ?? -1) > (other.startedAtMs ?? -1);
}
