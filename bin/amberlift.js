#!/usr/bin/env node
import { main } from '../dist/src/cli/main.js';

await main(process.argv);
