/**
 * @file Common interface of the benchmarks. Each is a file `bench-<name>.ts` that exports a `Bench`
 * and is registered in `src/tools/cli/bench.ts`.
 */

/** Options of one benchmark run. */
export interface BenchOptions {
  /** Rounds; each figure is their median. Undefined selects the benchmark's default. */
  readonly rounds: number | undefined;
  /** 32-bit seed of the random source. */
  readonly seed: number;
  /** Options specific to the benchmark, from `--set name=value`. */
  readonly settings: ReadonlyMap<string, string>;
  /** Reports progress in one short sentence. */
  progress(message: string): void;
}

/** Table printed to the terminal. */
export interface BenchTable {
  readonly head: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** Result of a benchmark run. */
export interface BenchResult {
  /** Printed by `--json` and written by `--out`; the keys are compared between result files. */
  readonly figures: object;
  /** Summary of the figures. */
  readonly table: BenchTable;
  /** Descriptions of the missed targets; empty if all were met. */
  readonly missed: readonly string[];
}

/** A benchmark that can be run by name. */
export interface Bench {
  readonly name: string;
  /** Description in the help text. */
  readonly summary: string;
  /** Rejects if the benchmark fails or a setting is unsupported. */
  run(options: BenchOptions): Promise<BenchResult>;
}

/**
 * Checks that a benchmark supports all settings of a run.
 * @throws RangeError with the name of an unsupported setting
 */
export function rejectUnknownSettings(options: BenchOptions, supported: readonly string[]): void {
  for (const name of options.settings.keys()) {
    if (!supported.includes(name)) {
      throw new RangeError(`unknown setting ${name}; available: ${supported.join(', ')}.`);
    }
  }
}

/**
 * @param values at least one
 * @returns the median, which is the lower of the two middle values for an even count
 */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted[Math.floor((sorted.length - 1) / 2)];
  if (middle === undefined) {
    throw new RangeError('The median requires at least one value.');
  }
  return middle;
}
