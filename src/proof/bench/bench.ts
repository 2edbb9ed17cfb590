/**
 * @file The interface of benches: each is one file `bench-<name>.ts` that exports a `Bench`, and stands in the registry of
 * `src/tools/cli/bench.ts`. What each is kept for stands in docs/design/proof.md.
 */

/** Options of a run of a bench. */
export interface BenchOptions {
  /** How many rounds each figure is the median of; undefined takes the bench's default. */
  readonly rounds: number | undefined;
  /** 32-bit seed of all that is random. */
  readonly seed: number;
  /** Options of this bench alone, as given by `--set name=value`. */
  readonly settings: ReadonlyMap<string, string>;
  /** Tells how far the run has come, in one short sentence. */
  progress(message: string): void;
}

/** A table for a terminal. */
export interface BenchTable {
  readonly head: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** What a run of a bench gives. */
export interface BenchResult {
  /** The figures; printed by `--json` and kept under docs/results. */
  readonly figures: object;
  /** The same in short. */
  readonly table: BenchTable;
  /** What was to be reached and was not; empty where all was. */
  readonly missed: readonly string[];
}

/** A measurement that can be run by name. */
export interface Bench {
  readonly name: string;
  /** One sentence for the help. */
  readonly summary: string;
  /** Rejects where the bench could not be run, also where a setting is unknown to it. */
  run(options: BenchOptions): Promise<BenchResult>;
}

/**
 * Refuses settings that a bench does not know.
 * @throws RangeError naming the setting
 */
export function refuseUnknownSettings(options: BenchOptions, known: readonly string[]): void {
  for (const name of options.settings.keys()) {
    if (!known.includes(name)) {
      throw new RangeError(`The bench has no setting ${name}; it has: ${known.join(', ')}.`);
    }
  }
}

/**
 * @param values at least one
 * @returns the median; of an even count the lower of the two in the middle
 */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted[Math.floor((sorted.length - 1) / 2)];
  if (middle === undefined) {
    throw new RangeError('There is no median of nothing.');
  }
  return middle;
}
