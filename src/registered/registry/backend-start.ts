/**
 * @file The name of one start of a back end: what a back end is called over all its starts, and when this one began. A
 * back end that starts again under its name holds nothing of before, so all that is kept of back ends (records,
 * departures, loads, answers, tokens) is kept by the name of the start, as one text that peers and stored data take as
 * they take any ID. Which start is current is decided in start-holders.ts.
 *
 * A back end that does not say when it started has one start, named as it is itself.
 */

/** One start of a back end. */
export interface BackendStart {
  /** What the back end is called over all its starts. */
  readonly backend: string;
  /** Unix time of the start in milliseconds, on the clock of the back end; undefined where it says none. */
  readonly startedAtMs: number | undefined;
}

/** Stands between the name and the time of the start; adapters refuse names that hold it. */
const SEPARATOR = '#';
const NAMED_START = /^(.+)#(\d+)$/s;

/** @returns the ID by which a start is known to all processes */
export function startIdOf({ backend, startedAtMs }: BackendStart): string {
  return startedAtMs === undefined ? backend : `${backend}${SEPARATOR}${startedAtMs}`;
}

/** @returns the start that an ID names */
export function startOf(id: string): BackendStart {
  const [, backend, startedAt] = NAMED_START.exec(id) ?? [];
  return backend === undefined
    ? { backend: id, startedAtMs: undefined }
    : { backend, startedAtMs: Number(startedAt) };
}

/** @returns true where a back end may be called so */
export function isBackendName(name: string): boolean {
  return !name.includes(SEPARATOR);
}

/** @returns true where one of two starts of a back end began later; one that says no time comes before all that do */
export function isLaterStart(one: BackendStart, other: BackendStart): boolean {
  return (one.startedAtMs ?? -1) > (other.startedAtMs ?? -1);
}
