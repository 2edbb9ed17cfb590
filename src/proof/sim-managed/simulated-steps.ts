/**
 * @file The steps that the simulator runs: those of the daemons and the stand-ins. Tests replace one of
 * them by a faulty one to show that the oracle notices.
 */
import { balancerStep } from '../../managed/balancer/balancer-step.js';
import { controlStep } from '../../managed/control/control-step.js';
import type { StorageFolder } from '../../shared/daemon/storage-folder.js';
import { backendStep } from '../standins/backend-step.js';
import { callerStep } from '../standins/caller-step.js';
import { fabricStep } from '../standins/fabric-step.js';

/** One step for each kind of process. */
export interface SimulatedSteps {
  readonly balancer: typeof balancerStep;
  readonly control: typeof controlStep;
  readonly backend: typeof backendStep;
  readonly caller: typeof callerStep;
  readonly fabric: typeof fabricStep;
  /** Stands between a control machine and its disk. */
  readonly storage: (folder: StorageFolder) => StorageFolder;
}

/** The steps of the product. */
export const productSteps: SimulatedSteps = {
  balancer: balancerStep,
  control: controlStep,
  backend: backendStep,
  caller: callerStep,
  fabric: fabricStep,
  storage: (folder) => folder,
};
