/**
 * @file Guards against oracle checks that miss faults of the data path: each mutant must violate its check, and
 * the unmodified product must pass the same schedule.
 */
import { flowMutants } from './flow-mutants.js';
import { testMutants } from './mutant.js';

testMutants(flowMutants);
