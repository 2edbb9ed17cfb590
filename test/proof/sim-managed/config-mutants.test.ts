/**
 * @file Guards against oracle checks that miss faults of the control plane: each mutant must violate its check,
 * and the unmodified product must pass the same schedule.
 */
import { configMutants } from './config-mutants.js';
import { testMutants } from './mutant.js';

testMutants(configMutants);
