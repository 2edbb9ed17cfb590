/**
 * @file Types of the demo deployment: zones, services and numbers of processes.
 */
import type { Settings } from '../../managed/settings/settings-schema.js';

/** A service of a deployment; times in milliseconds. */
export interface DeployedService {
  readonly name: string;
  /** Name of the operator that owns it; the control settings hold the bearer token. */
  readonly operator: string;
  readonly backends: number;
  /** Concurrent requests per back end. */
  readonly slots: number;
  /** Maximum number of flows per back end. */
  readonly connections: number;
  /** Maximum number of queued requests per back end. */
  readonly queue: number;
  /** Mean run time of a request. */
  readonly serviceTimeMs: number;
  readonly answerBytes: number;
}

/** A deployment; delays are one-way, in milliseconds. */
export interface Deployment {
  /** Zones that balancers and back ends are assigned to in turn. */
  readonly zones: readonly string[];
  readonly crossZoneDelayMs: number;
  /** Delay between callers and the fabric. */
  readonly callerDelayMs: number;
  readonly balancers: number;
  readonly controlMachines: number;
  readonly services: readonly DeployedService[];
  /** Validated settings, including tokens and the cluster key. */
  readonly settings: Settings;
}
