/**
 * @file Each deliberately broken variant is caught by the check named for it, and the unbroken product
 * passes the same schedule.
 */
import { configMutants } from './config-mutants.js';
import { testMutants } from './mutant.js';

testMutants(configMutants);
