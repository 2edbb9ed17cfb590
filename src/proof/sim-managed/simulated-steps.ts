/**
 * @file The step functions that the simulator runs. Tests replace one by a faulty version to verify
 * that the oracle detects the fault.
 */
import { balancerStep } from '../../managed/balancer/balancer-step.js';
import { controlStep } from '../../managed/control/control-step.js';
import type { StorageFolder } from '../../shared/daemon/storage-folder.js';
import { backendStep } from '../standins/backend-step.js';
import { callerStep } from '../standins/caller-step.js';
import { fabricStep } from '../standins/fabric-step.js';

/** Step functions by kind of process, and a storage wrapper. */
export interface SimulatedSteps {
  readonly balancer: typeof balancerStep;
  readonly control: typeof controlStep;
  readonly backend: typeof backendStep;
  readonly caller: typeof callerStep;
  readonly fabric: typeof fabricStep;
  /** Wraps the disk of a control machine. */
  readonly storage: (folder: StorageFolder) => StorageFolder;
}

/** The unmodified step functions of the daemons and stand-ins. */
export const productSteps: SimulatedSteps = {
  balancer: balancerStep,
  control: controlStep,
  backend: backendStep,
  caller: callerStep,
  fabric: fabricStep,
  storage: (folder) => folder,
};
