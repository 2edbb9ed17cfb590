/**
 * @file Each deliberately broken variant is caught by the check named for it, and the unbroken product
 * passes the same schedule.
 */
import { flowMutants } from './flow-mutants.js';
import { testMutants } from './mutant.js';

testMutants(flowMutants);
