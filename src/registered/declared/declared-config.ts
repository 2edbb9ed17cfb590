/**
 * @file A declared configuration: one whole document with a version that says which routes exist, where the flows of
 * each go, and the services behind them. The highest version that was accepted is in force.
 */

/** How the requests on a route may be repeated. */
type RequestKind = 'repeatable' | 'at-most-once';

/** A service that takes a share of the new flows of a route. */
export interface WeightedTarget {
  readonly service: string;
  /** Share relative to the other targets of the route; 0 gets no flows. */
  readonly weight: number;
}

/** An address and port at which flows are accepted. */
export interface DeclaredRoute {
  readonly name: string;
  /** IPv4 number as text. */
  readonly host: string;
  readonly port: number;
  readonly targets: readonly WeightedTarget[];
  readonly kind: RequestKind;
  /** How long one request may take, in milliseconds. */
  readonly timeoutMs: number;
}

/** A service: back ends register under its name. */
export interface DeclaredService {
  readonly name: string;
  /** A back end is cold for so long after its start, in milliseconds; absent for not at all. */
  readonly warmUpMs?: number | undefined;
  /** How many requests a second a cold back end handles; absent for none. */
  readonly coldRequestsPerS?: number | undefined;
}

/** How the back ends of a service warm up, as balancers are sent it. */
export interface ServiceWarmUp {
  readonly service: string;
  readonly warmUpMs: number;
  readonly coldRequestsPerS: number;
}

/** One whole configuration. */
export interface DeclaredConfig {
  /** Positive whole number. */
  readonly version: number;
  readonly routes: readonly DeclaredRoute[];
  readonly services: readonly DeclaredService[];
  /** A flow that is idle for this long may be forgotten, in milliseconds. */
  readonly idleTimeoutMs: number;
}
