/**
 * @file What the demo deploys on loopback: its zones, services and numbers of processes.
 */
import type { Settings } from '../../managed/settings/settings-schema.js';

/** A service of a deployment; times in milliseconds. */
export interface DeployedService {
  readonly name: string;
  /** The operator who owns it; the control settings hold the bearer token. */
  readonly operator: string;
  readonly backends: number;
  /** Requests that one back end runs at the same time. */
  readonly slots: number;
  /** Flows that one back end holds. */
  readonly connections: number;
  /** Requests that may wait at one back end. */
  readonly queue: number;
  /** Mean time that a request runs. */
  readonly serviceTimeMs: number;
  /** Length of an answer. */
  readonly answerBytes: number;
}

/** A deployment; times in milliseconds, one way. */
export interface Deployment {
  /** Balancers, back ends and control machines are spread over them in turn. */
  readonly zones: readonly string[];
  readonly crossZoneDelayMs: number;
  /** Time to callers. */
  readonly callerDelayMs: number;
  readonly balancers: number;
  readonly controlMachines: number;
  readonly services: readonly DeployedService[];
  /** The checked settings of the control machines, for tokens and keys. */
  readonly settings: Settings;
}
