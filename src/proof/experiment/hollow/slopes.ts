/**
 * @file How the figures of hollow worlds grow with the number of balancers, by least squares.
 */
import type { SizeFigures } from './hollow-bench.js';
import type { HollowRole } from './meter.js';

const ROLES: readonly HollowRole[] = ['balancer', 'relay', 'leader', 'follower'];
const BYTES_PER_MB = 1_000_000;

/** A straight line through the figures of all sizes. */
export interface Slope {
  readonly figure: string;
  readonly unit: string;
  /** The figure at each size, in the order of the sizes. */
  readonly values: readonly number[];
  /** What one more balancer adds, with its share of back ends and services. */
  readonly perBalancer: number;
  readonly intercept: number;
}

/**
 * @returns one line for each figure that the capacity page uses
 */
export function slopesOf(sizes: readonly SizeFigures[]): Slope[] {
  const slope = (figure: string, unit: string, valueOf: (size: SizeFigures) => number): Slope => {
    const values = sizes.map(valueOf);
    return {
      figure,
      unit,
      values,
      ...fitLine(
        sizes.map(({ balancers }) => balancers),
        values,
      ),
    };
  };
  const perRole = ROLES.flatMap((role) => [
    slope(`${role}: processor on an ordinary day`, '% of a core', (size) =>
      onOneDay(size, (period) => period.roles[role].corePercent),
    ),
    slope(`${role}: health probes`, 'a second', (size) =>
      onOneDay(size, (period) => period.roles[role].probesPerSecond),
    ),
    slope(`${role}: sent on an ordinary day, with headers`, 'bytes/s', (size) =>
      onOneDay(size, (period) => period.roles[role].sent.bytesPerSecondWithHeaders),
    ),
    slope(`${role}: received on an ordinary day, with headers`, 'bytes/s', (size) =>
      onOneDay(size, (period) => period.roles[role].received.bytesPerSecondWithHeaders),
    ),
  ]);
  return [
    ...perRole,
    slope('balancer: heap', 'MB', ({ memory }) => memory.balancerBytes / BYTES_PER_MB),
    slope('control machine: heap', 'MB', ({ memory }) => memory.controlBytes / BYTES_PER_MB),
    slope('configuration as one message', 'MB', ({ memory }) => memory.snapshotMessageBytes / 1e6),
    slope('accepted to in force everywhere, p99', 'ms', (size) => size.inForceEverywhere.p99Ms),
  ];
}

/**
 * Takes the compression of the load back: what changes and restarts add, at the pace of a day.
 */
export function onOneDay(
  size: SizeFigures,
  valueOf: (period: SizeFigures['idle']) => number,
): number {
  const idle = valueOf(size.idle);
  return idle + (valueOf(size.load) - idle) / size.load.compression;
}

/**
 * @returns the line with the least squares of the distances
 */
export function fitLine(
  at: readonly number[],
  values: readonly number[],
): Pick<Slope, 'perBalancer' | 'intercept'> {
  const mean = (list: readonly number[]) => list.reduce((sum, one) => sum + one, 0) / list.length;
  const [meanAt, meanValue] = [mean(at), mean(values)];
  const spread = at.reduce((sum, one) => sum + (one - meanAt) ** 2, 0);
  const together = at.reduce(
    (sum, one, position) => sum + (one - meanAt) * ((values[position] ?? 0) - meanValue),
    0,
  );
  const perBalancer = spread === 0 ? 0 : together / spread;
  return { perBalancer, intercept: meanValue - perBalancer * meanAt };
}
