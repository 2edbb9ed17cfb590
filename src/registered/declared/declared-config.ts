/**
 * @file The declared configuration: a versioned document of all routes, their targets and the services behind them. The
 * highest accepted version is in force.
 */

/** Whether requests on a route may be retried. */
type RequestKind = 'repeatable' | 'at-most-once';

/** A service that takes a share of the new flows of a route. */
export interface WeightedTarget {
  readonly service: string;
  /** Relative to the other targets of the route; 0 gets no flows. */
  readonly weight: number;
}

/** An address and port at which flows are accepted. */
export interface DeclaredRoute {
  readonly name: string;
  /** IPv4 address. */
  readonly host: string;
  readonly port: number;
  readonly targets: readonly WeightedTarget[];
  readonly kind: RequestKind;
  /** Time limit for one request, in milliseconds; not 0. Balancers don't apply it. */
  readonly timeoutMs: number;
  /** 0 is the highest; absent for the lowest. */
  readonly priority?: number | undefined;
  /** The time within which answers are expected, in milliseconds; absent for the time-out. */
  readonly latencyObjectiveMs?: number | undefined;
}

/** A service: back ends register under its name. */
export interface DeclaredService {
  readonly name: string;
  /** Duration of the slow start of a back end, in milliseconds; absent for no slow start. */
  readonly warmUpMs?: number | undefined;
  /** Requests per second that a back end handles during slow start; absent for none. */
  readonly coldRequestsPerS?: number | undefined;
}

/** Slow-start parameters of a service, as sent to balancers. */
export interface ServiceWarmUp {
  readonly service: string;
  readonly warmUpMs: number;
  readonly coldRequestsPerS: number;
}

/** A declared configuration. */
export interface DeclaredConfig {
  /** Positive integer. */
  readonly version: number;
  readonly routes: readonly DeclaredRoute[];
  readonly services: readonly DeclaredService[];
  /** The state of a flow that is idle for this long may be dropped, in milliseconds. */
  readonly idleTimeoutMs: number;
}
